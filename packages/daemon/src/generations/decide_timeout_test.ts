import { expect } from "chai";
import { createManualClock } from "../common/create_manual_clock.ts";
import { createIdleTimer } from "./create_idle_timer.ts";
import { decideTimeout } from "./decide_timeout.ts";
import type { TimeoutEffect } from "./decide_timeout.ts";

const LIMITS = { limitMs: 10_000, pauseThresholdMs: 1_000 };

describe("decideTimeout", () => {
  const cases: readonly {
    title: string;
    lastActivityMs: number;
    dueMs: number;
    nowMs: number;
    expected: TimeoutEffect;
  }[] = [
    {
      title: "expires when the limit has passed without activity",
      lastActivityMs: 0,
      dueMs: 10_000,
      nowMs: 10_000,
      expected: { type: "expire" },
    },
    {
      title: "expires when the timer fires slightly late",
      lastActivityMs: 0,
      dueMs: 10_000,
      nowMs: 11_000,
      expected: { type: "expire" },
    },
    {
      title: "waits for the remaining time after activity",
      lastActivityMs: 4_000,
      dueMs: 10_000,
      nowMs: 10_000,
      expected: { type: "wait", delayMs: 4_000 },
    },
    {
      title: "waits for the full limit again when the process was paused for a minute",
      lastActivityMs: 0,
      dueMs: 10_000,
      nowMs: 70_000,
      expected: { type: "wait", delayMs: 10_000 },
    },
  ];
  for (const { title, expected, ...times } of cases) {
    it(title, () => {
      expect(decideTimeout({ ...times, ...LIMITS })).to.deep.equal(expected);
    });
  }

  it("fires an idle timer once, when the limit has passed since the last activity", () => {
    const clock = createManualClock();
    const expiries: number[] = [];
    const handleExpiry = () => expiries.push(clock.readMonotonicMs());
    const timer = createIdleTimer({ clock, ...LIMITS, handleExpiry });
    clock.advance(6_000);
    timer.touch();
    clock.advance(60_000);
    expect(expiries).to.deep.equal([16_000]);
  });
});
