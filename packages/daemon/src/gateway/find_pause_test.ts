import { expect } from "chai";
import { findPause } from "./find_pause.ts";

describe("findPause", () => {
  const before = { monotonicMs: 1_000, wallMs: 1_700_000_000_000 };
  const cases: readonly [string, number, number, ReturnType<typeof findPause>][] = [
    ["a tick in time is none", 100, 100, undefined],
    ["a late tick is none", 900, 900, undefined],
    ["a frozen process", 4_000, 4_000, { gapMs: 4_000, clock: "monotonic" }],
    ["a suspended machine, whose monotonic clock stood", 100, 5_100, {
      gapMs: 5_000,
      clock: "wall",
    }],
    ["a time of day that was set back", 100, -1_900, { gapMs: -2_000, clock: "wall" }],
    ["a slewed time of day is none", 100, 140, undefined],
  ];
  for (const [title, monotonicMs, wallMs, expected] of cases) {
    it(title, () => {
      const now = {
        monotonicMs: before.monotonicMs + monotonicMs,
        wallMs: before.wallMs + wallMs,
      };
      expect(findPause(before, now, 1_000)).to.deep.equal(expected);
    });
  }
});
