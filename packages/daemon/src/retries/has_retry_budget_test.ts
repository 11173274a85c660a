import { expect } from "chai";
import { countBudget } from "./count_budget.ts";
import { hasRetryBudget } from "./has_retry_budget.ts";
import type { RetryBudgetState } from "./retry_budget_state.ts";

const LIMITS = { ratio: 0.2, slack: 56, windowMs: 10_000 };

/** Counts the most repeats in any window of hosts that receive equal shares of the requests. */
function countMaxRepeats(hosts: number, assumedHosts: number, requestsPerSecond: number): number {
  const states: RetryBudgetState[] = Array.from({ length: hosts }, () => ({ slots: [] }));
  const repeatTimes: number[] = [];
  for (let nowMs = 0; nowMs < 40_000; nowMs += 100) {
    for (const [index, state] of states.entries()) {
      const isRequest = (nowMs / 100 + index) % (10 * hosts / requestsPerSecond) < 1;
      if (isRequest) {
        countBudget(state, "requests", LIMITS.windowMs, nowMs);
      }
      while (hasRetryBudget(state, LIMITS, assumedHosts, nowMs)) {
        countBudget(state, "repeats", LIMITS.windowMs, nowMs);
        repeatTimes.push(nowMs);
      }
    }
  }
  return Math.max(
    ...repeatTimes.map((end) =>
      repeatTimes.filter((time) => time <= end && time > end - LIMITS.windowMs).length
    ),
  );
}

describe("hasRetryBudget", () => {
  it("stays within the fleet's budget when every host uses its full share", () => {
    for (const hosts of [1, 6, 8, 80]) {
      const requests = 40 * 10;
      expect(countMaxRepeats(hosts, hosts, 40)).to.be.at.most(
        LIMITS.ratio * requests + LIMITS.slack,
      );
    }
  });

  it("stays within the budget when a quarter of the hosts is unknown to the others", () => {
    expect(countMaxRepeats(8, 6, 40)).to.be.at.most(LIMITS.ratio * 400 + LIMITS.slack);
  });

  it("allows repeats again once earlier ones are outside the window", () => {
    const state: RetryBudgetState = { slots: [] };
    while (hasRetryBudget(state, LIMITS, 1, 0)) {
      countBudget(state, "repeats", LIMITS.windowMs, 0);
    }
    expect(hasRetryBudget(state, LIMITS, 1, 5_000)).to.equal(false);
    expect(hasRetryBudget(state, LIMITS, 1, 11_001)).to.equal(true);
  });

  it("bounds the number of slots", () => {
    const state: RetryBudgetState = { slots: [] };
    for (let nowMs = 0; nowMs < 100_000; nowMs += 10) {
      countBudget(state, "requests", LIMITS.windowMs, nowMs);
    }
    expect(state.slots.length).to.be.at.most(21);
  });
});
