import { expect } from "chai";
import { findPause } from "./find_pause.ts";

describe("findPause", () => {
  const before = { monotonicMs: 1_000, wallMs: 1_700_000_000_000 };
  const cases: readonly [string, number, number, ReturnType<typeof findPause>][] = [
    ["finds no pause for a tick on time", 100, 100, undefined],
    ["finds no pause for a late tick below the threshold", 900, 900, undefined],
    ["finds a pause of the process", 4_000, 4_000, { gapMs: 4_000, clock: "monotonic" }],
    ["finds a suspended machine, whose monotonic clock stopped", 100, 5_100, {
      gapMs: 5_000,
      clock: "wall",
    }],
    ["finds a wall clock that was set back", 100, -1_900, { gapMs: -2_000, clock: "wall" }],
    ["finds no pause for a slewed wall clock", 100, 140, undefined],
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
