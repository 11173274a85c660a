import { expect } from "chai";
import fc from "fast-check";
import { createSeededRandom } from "../common/create_seeded_random.ts";
import { EVACUATION_LIMITS } from "./constants.ts";
import { decideEvacuationMoves } from "./decide_evacuation_moves.ts";
import type { EvacuatedRun } from "./decide_evacuation_moves.ts";

const TICK_MS = 50;
const MAX_PER_UPSTREAM = 3;
const { moveSpreadMs, lastCallMs } = EVACUATION_LIMITS;

const createRuns = (count: number, upstreams = 8): EvacuatedRun[] =>
  Array.from({ length: count }, (_, index) => ({
    id: `r${index}`,
    upstreamId: `e${index % upstreams}`,
    remainingTokens: (index * 37) % 700,
    isMigrating: false,
  }));

/** Plays the moves of one host; a move takes `moveMs`. Returns the times of their starts by id. */
function runMoves(runs: readonly EvacuatedRun[], phase: number, moveMs: number) {
  const startedMs = new Map<string, number>();
  let mostPerUpstream = 0;
  for (let elapsedMs = 0; elapsedMs < lastCallMs + 1_000; elapsedMs += TICK_MS) {
    const left = runs.filter(({ id }) => elapsedMs - (startedMs.get(id) ?? Infinity) < moveMs)
      .map((run) => ({ ...run, isMigrating: startedMs.has(run.id) }));
    const chosen = decideEvacuationMoves({
      ...{ elapsedMs, phase, started: startedMs.size, maxPerUpstream: MAX_PER_UPSTREAM },
      runs: left,
    });
    chosen.forEach((id) => startedMs.set(id, elapsedMs));
    const inProgress = runs.filter(({ id }) =>
      elapsedMs - (startedMs.get(id) ?? -Infinity) < moveMs
    );
    for (const { upstreamId } of inProgress) {
      const count = inProgress.filter((other) => other.upstreamId === upstreamId).length;
      mostPerUpstream = Math.max(mostPerUpstream, count);
    }
  }
  return { startedMs, mostPerUpstream };
}

describe("decideEvacuationMoves", () => {
  // A's load: 73 hosts, a quarter of 50 engines with 24 generations each evacuated. Guards against
  // copies and prompts that all arrive at the other engines at once.
  it("spreads the moves of a fleet evenly, also when each host has one or a few", () => {
    const random = createSeededRandom(7);
    const times = Array.from(
      { length: 73 },
      (
        _,
        host,
      ) => [...runMoves(createRuns(1 + host % 7), random.nextFloat(), 300).startedMs.values()],
    ).flat();
    const perHalfSecond = Array.from(
      { length: moveSpreadMs / 500 },
      (_, index) => times.filter((time) => Math.floor(time / 500) === index).length,
    );
    const mean = times.length / perHalfSecond.length;
    expect(Math.max(...times)).to.be.at.most(moveSpreadMs);
    expect(Math.max(...perHalfSecond)).to.be.below(1.5 * mean);
    expect(Math.min(...perHalfSecond)).to.be.above(0.5 * mean);
  });

  // Guards against long generations that are left for last, and are cut when the time is over.
  it("starts with the longest remaining run", () => {
    const runs = createRuns(20);
    const { startedMs } = runMoves(runs, 0.5, 100);
    const order = [...startedMs.keys()].map((id) =>
      runs.find((run) => run.id === id)?.remainingTokens ?? 0
    );
    expect(order).to.deep.equal(order.toSorted((left, right) => right - left));
  });

  // Guards against more copies at once than an engine's link carries, and against calls after the
  // last one that the platform allows.
  it("keeps the bound for each engine and the end of the time, for any number of runs", () => {
    fc.assert(
      fc.property(
        fc.nat(120),
        fc.integer({ min: 1, max: 10 }),
        fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }),
        fc.integer({ min: 60, max: 2_000 }),
        (count, upstreams, phase, moveMs) => {
          const { startedMs, mostPerUpstream } = runMoves(
            createRuns(count, upstreams),
            phase,
            moveMs,
          );
          expect(mostPerUpstream).to.be.at.most(MAX_PER_UPSTREAM);
          expect([...startedMs.values()].every((time) => time < lastCallMs)).to.equal(true);
          if (count <= upstreams * MAX_PER_UPSTREAM) {
            expect(startedMs.size).to.equal(count);
          }
        },
      ),
      { numRuns: 200, seed: 3 },
    );
  });

  // Guards against a move that fails and is never tried again.
  it("tries failed moves again until the last call", () => {
    const runs = createRuns(1);
    const decide = (elapsedMs: number, started: number) =>
      decideEvacuationMoves({ elapsedMs, phase: 0, started, maxPerUpstream: 3, runs });
    expect(decide(moveSpreadMs, 4)).to.deep.equal(["r0"]);
    expect(decide(lastCallMs, 4)).to.deep.equal([]);
  });
});
