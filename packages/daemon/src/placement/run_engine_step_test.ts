import { createResultError } from "@crocussail/protocol";
import { expect } from "chai";
import { Left, Right } from "purify-ts";
import type { PlacementClient } from "../adapters/placement_client.ts";
import { createManualClock } from "../common/create_manual_clock.ts";
import { PLACEMENT_LIMITS } from "./constants.ts";
import { createCopyStatus } from "./create_copy_status.ts";
import { createInMemoryEngine } from "./create_in_memory_engine.ts";
import type { InMemoryEngine } from "./create_in_memory_engine.ts";
import { runEngineStep } from "./run_engine_step.ts";
import type { EngineStep, EngineStepDependencies } from "./run_engine_step.ts";

const makeEngine = createInMemoryEngine;
const makeCopy = createCopyStatus;

const makeDependencies = (
  engines: Readonly<Record<string, InMemoryEngine>>,
  dependencies: Partial<EngineStepDependencies> = {},
): EngineStepDependencies => {
  const client: PlacementClient = {
    fetchPlacementStatus: (url) => {
      const engine = engines[url];
      return Promise.resolve(
        engine === undefined
          ? Left(createResultError("placementUnknown", url))
          : Right({ fence: engine.fence, capacity: engine.capacity, copies: engine.copies }),
      );
    },
    sendPlacementOrder: (url, order) =>
      Promise.resolve(engines[url]?.applyOrder(order) ?? Right(undefined)),
  };
  return {
    clock: createManualClock(),
    logger: { writeEvent: () => {} },
    client,
    listHolders: () => [],
    confirmOrder: () => Promise.resolve(true),
    acquireSlot: () => Promise.resolve({ startDeadlineAtMs: 1_000, release: () => {} }),
    ...dependencies,
  };
};
const makeStep = (fields: Partial<EngineStep> = {}): EngineStep => ({
  engine: "e1",
  url: "e1",
  checksFencing: true,
  wanted: makeCopy("m", "2"),
  fence: 5,
  modelsInUse: new Set(["m", "other"]),
  hasFailed: false,
  ...fields,
});

describe("runEngineStep", () => {
  it("changes the version while exactly one ready copy serves at every step", async () => {
    const e1 = makeEngine([makeCopy("m", "1")], { checksFencing: true });
    for (let step = 0; step < 4; step++) {
      await runEngineStep(makeStep(), makeDependencies({ e1 }));
      expect(e1.copies.filter((copy) => copy.isServing && copy.state === "ready")).to.have.length(
        1,
      );
    }
    expect(e1.orders).to.deep.equal(["load m@2", "serve m@2", "unload m@1"]);
  });

  it("keeps the old version serving when the new one fails its ready check", async () => {
    const e1 = makeEngine([makeCopy("m", "1")], { checksFencing: true, failingVersion: "2" });
    await runEngineStep(makeStep(), makeDependencies({ e1 }));
    await runEngineStep(makeStep(), makeDependencies({ e1 }));
    await runEngineStep(makeStep({ hasFailed: true }), makeDependencies({ e1 }));
    expect(e1.orders).to.deep.equal(["load m@2", "unload m@2"]);
    expect(e1.copies).to.deep.equal([makeCopy("m", "1")]);
  });

  it("never unloads the last ready copy of a model in use", async () => {
    const e1 = makeEngine([makeCopy("m", "2"), makeCopy("other", "1")], { checksFencing: true });
    const { decision } = await runEngineStep(makeStep(), makeDependencies({ e1 }));
    expect(decision).to.deep.equal({ type: "wait", reason: "full" });
    expect(e1.copies).to.have.length(2);
  });

  it("raises the fencing token of the remaining copy, so a stale owner cannot unload it", async () => {
    const e1 = makeEngine([makeCopy("m", "2"), makeCopy("other", "1")], { checksFencing: true });
    const e2 = makeEngine([makeCopy("m", "2"), makeCopy("other", "1")], { checksFencing: true });
    const newer = makeDependencies({ e1, e2 }, { listHolders: () => ["e2"] });
    await runEngineStep(makeStep({ fence: 6 }), newer);
    expect(e1.orders).to.deep.equal(["unload other@1"]);
    const late = makeDependencies({ e1, e2 }, { listHolders: () => ["e1"] });
    await runEngineStep(makeStep({ engine: "e2", url: "e2", fence: 5 }), late);
    expect(e2.copies.map((copy) => copy.model)).to.include("other");
  });

  const unsentCases: readonly {
    title: string;
    step?: Partial<EngineStep>;
    dependencies: Partial<EngineStepDependencies>;
  }[] = [
    {
      title: "peers do not confirm it and the engine does not check fencing",
      step: { checksFencing: false },
      dependencies: { confirmOrder: () => Promise.resolve(false) },
    },
    {
      title: "no slot is available",
      dependencies: { acquireSlot: () => Promise.resolve(undefined) },
    },
  ];
  for (const { title, step, dependencies } of unsentCases) {
    it(`sends no load when ${title}`, async () => {
      const e1 = makeEngine([], { checksFencing: true });
      await runEngineStep(makeStep(step), makeDependencies({ e1 }, dependencies));
      expect(e1.orders).to.deep.equal([]);
    });
  }

  it("drops an order and releases the slot when the process resumes after a pause", async () => {
    const e1 = makeEngine([], { checksFencing: false });
    const clock = createManualClock();
    let releaseCount = 0;
    const dependencies = makeDependencies({ e1 }, {
      clock,
      acquireSlot: () => {
        clock.advance(PLACEMENT_LIMITS.confirmMs + 1);
        return Promise.resolve({ startDeadlineAtMs: 60_000, release: () => releaseCount++ });
      },
    });
    const { slot } = await runEngineStep(makeStep({ checksFencing: false }), dependencies);
    expect(e1.orders).to.deep.equal([]);
    expect(slot).to.equal(undefined);
    expect(releaseCount).to.equal(1);
  });
});
