import { expect } from "chai";
import { assert, constantFrom, integer, property, record } from "fast-check";
import type { LimitObservation } from "./limit_observation.ts";
import { mergeLimitObservations } from "./merge_limit_observations.ts";

const observe = (
  perSecond: number | undefined,
  sentAtMs: number,
  receivedAtMs: number,
): LimitObservation => ({ perSecond, sentAtMs, receivedAtMs });

describe("mergeLimitObservations", () => {
  it("takes the response to a request that was sent after the other one arrived", () => {
    const named = observe(2, 0, 10);
    const ended = observe(undefined, 10, 20);
    expect(mergeLimitObservations(named, ended)).to.equal(ended);
    expect(mergeLimitObservations(ended, named)).to.equal(ended);
  });

  it("does not lift a limit by a response that may be older than the one that named it", () => {
    const named = observe(2, 0, 10);
    expect(mergeLimitObservations(named, observe(undefined, 9, 30))).to.equal(named);
    expect(mergeLimitObservations(named, observe(5, 9, 30))).to.equal(named);
    expect(mergeLimitObservations(observe(5, 9, 30), named)).to.equal(named);
  });

  it("gives the same limit in either order", () => {
    const times = record({
      perSecond: constantFrom(undefined, 0, 0.4, 2.4, 100),
      sentAtMs: integer({ min: 0, max: 50 }),
      tookMs: integer({ min: 1, max: 30 }),
    }).map(({ perSecond, sentAtMs, tookMs }) => observe(perSecond, sentAtMs, sentAtMs + tookMs));
    assert(
      property(times, times, (left, right) => {
        expect(mergeLimitObservations(left, right).perSecond)
          .to.equal(mergeLimitObservations(right, left).perSecond);
      }),
      { seed: 7 },
    );
  });
});
