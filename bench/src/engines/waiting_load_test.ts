import { expect } from "chai";
import { createWaitQueue } from "@crocussail/daemon/waiting";
import { createFormerQueue } from "./create_former_queue.ts";
import { runWaitingLoad } from "./run_waiting_load.ts";
import type { CreateQueue, WaitingLoadFigures, WaitingShare } from "./waiting_load_options.ts";

const SEEDS = [1, 2, 3];
const runWith = (load: number, createQueue: CreateQueue) =>
  SEEDS.map((seed) => runWaitingLoad({ seed, hosts: 8, engines: 6, load, createQueue }));
const sum = (runs: readonly WaitingLoadFigures[], group: string, field: keyof WaitingShare) => {
  const shares = runs.map((figures) => figures[group]).filter((share) => share !== undefined);
  const asked = shares.reduce((total, share) => total + share.asked, 0);
  return shares.reduce((total, share) => total + share[field] * share.asked, 0) / asked;
};
const DATA_CENTRE = "data centre with three times";

describe("order of waiting requests in a burst", () => {
  const former = { 1.2: runWith(1.2, createFormerQueue), 2.5: runWith(2.5, createFormerQueue) };
  const current = { 1.2: runWith(1.2, createWaitQueue), 2.5: runWith(2.5, createWaitQueue) };

  it("serves no fewer in target in total than the former order at 1.2 times the room", () => {
    expect(sum(current[1.2], "all", "inTarget"))
      .to.be.at.least(sum(former[1.2], "all", "inTarget"));
  });

  it("serves the largest tenth and the next fifth of the urgent kind half as often as all", () => {
    for (const load of [1.2, 2.5] as const) {
      const all = sum(current[load], "short", "inTarget");
      for (const group of ["short, largest tenth", "short, next fifth"]) {
        expect(sum(current[load], group, "inTarget"), group).to.be.at.least(all / 2);
      }
    }
    expect(sum(former[2.5], "short, largest tenth", "inTarget"))
      .to.be.below(sum(former[2.5], "short", "inTarget") / 2);
  });

  it("serves the urgent kind at least as often as the less urgent one", () => {
    for (const load of [1.2, 2.5] as const) {
      expect(sum(current[load], "short", "inTarget"))
        .to.be.at.least(sum(current[load], "long", "inTarget"));
    }
  });

  it("serves each account and data centre at least half as often as all", () => {
    const groups = ["account large", "account small", DATA_CENTRE, "other data centres"];
    for (const load of [1.2, 2.5] as const) {
      const all = sum(current[load], "all", "inTarget");
      for (const group of groups) {
        expect(sum(current[load], group, "inTarget"), group).to.be.at.least(all / 2);
      }
    }
  });

  it("refuses what it cannot serve in a fraction of the time, and serves few late", () => {
    expect(sum(current[2.5], "all", "refusedAfterMs"))
      .to.be.below(sum(former[2.5], "all", "refusedAfterMs") / 2);
    expect(sum(current[2.5], "all", "late")).to.be.below(sum(former[2.5], "all", "late") / 2);
  });
});
