import { expect } from "chai";
import { createEngineModel } from "./create_engine_model.ts";
import type { EngineModelOptions } from "./engine_model_options.ts";

const BASE: EngineModelOptions = {
  capacityTokens: 160,
  maxBatch: 4,
  baseStepMs: 10,
  sequenceStepMs: 0,
  prefillTokenMs: 0,
  speed: 1,
  reportLagMs: 0,
  prefixCacheTokens: 64,
};

function makeModel(changes: Partial<EngineModelOptions> = {}) {
  const log: string[] = [];
  const model = createEngineModel({ ...BASE, ...changes }, {
    addTokens: ({ id, firstIndex, count }) => {
      for (let index = firstIndex; index < firstIndex + count; index++) {
        log.push(`${id}${index}`);
      }
    },
    finishJob: (id, atMs) => log.push(`${id} finished ${Math.round(atMs)}`),
    pauseJob: (id) => log.push(`${id} paused`),
  });
  return { model, log };
}

describe("engine model", () => {
  it("produces every token once and in order, whatever the size of the time steps", () => {
    const whole = makeModel();
    const sliced = makeModel();
    for (const { model } of [whole, sliced]) {
      model.submitJob({ id: "a", promptTokens: 8, outputTokens: 3, priority: 5 }, 0);
    }
    whole.model.advanceTo(1_000);
    for (let at = 0; at <= 1_000; at += 7) {
      sliced.model.advanceTo(at);
    }
    expect(whole.log).to.deep.equal(["a0", "a1", "a2", "a finished 40"]);
    expect(sliced.log).to.deep.equal(whole.log);
  });

  it("preempts the least urgent job when the KV cache is full and still finishes both", () => {
    const { model, log } = makeModel();
    model.submitJob({ id: "slow", promptTokens: 40, outputTokens: 60, priority: 5 }, 0);
    model.submitJob({ id: "quick", promptTokens: 40, outputTokens: 60, priority: 1 }, 0);
    model.advanceTo(10_000);
    expect(log).to.include("slow paused");
    expect(log).not.to.include("quick paused");
    expect(log.filter((line) => line === "slow59" || line === "quick59")).to.have.length(2);
    expect(model.readLoad(10_000)).to.include({ preemptions: 1, running: 0, usedTokens: 0 });
  });

  it("refuses new jobs while draining and finishes running ones", () => {
    const { model, log } = makeModel();
    model.submitJob({ id: "a", promptTokens: 1, outputTokens: 1, priority: 5 }, 0);
    model.startLeaving();
    expect(model.submitJob({ id: "b", promptTokens: 1, outputTokens: 1, priority: 5 }, 0)).to.equal(
      false,
    );
    model.advanceTo(100);
    expect(log).to.include("a0");
  });

  it("reports its load with the configured lag", () => {
    const { model } = makeModel({ reportLagMs: 1_000 });
    model.advanceTo(0);
    model.submitJob({ id: "a", promptTokens: 16, outputTokens: 100, priority: 5 }, 500);
    model.advanceTo(600);
    expect(model.readLoad(700).running).to.equal(0);
    expect(model.readLoad(1_700).running).to.equal(1);
  });

  it("skips cached prompt tokens and records the changes of the prefix cache", () => {
    const { model, log } = makeModel({ prefillTokenMs: 1, capacityTokens: 400 });
    const prefix = { key: "p", tokens: 50 };
    model.submitJob({ id: "a", promptTokens: 60, outputTokens: 1, priority: 5, prefix }, 0);
    model.advanceTo(500);
    model.submitJob({ id: "b", promptTokens: 60, outputTokens: 1, priority: 5, prefix }, 500);
    model.advanceTo(1_000);
    expect(log).to.include.members(["a finished 80", "b finished 530"]);
    expect(model.listCacheEvents(0)).to.deep.equal([{ sequence: 1, type: "stored", prefix: "p" }]);
  });
});
