import { expect } from "chai";
import { FORWARDING_LIMITS } from "./constants.ts";
import { decideRestoreRetry } from "./decide_restore_retry.ts";

describe("decideRestoreRetry", () => {
  const refused = {
    isUnexecuted: true,
    isUpstreamUsable: true,
    elapsedMs: 1_000,
    leftMs: 20_000,
    hasBudget: true,
  };

  it("retries a refused request within the caller's patience, the deadline and the budget", () => {
    expect(decideRestoreRetry(refused)).to.equal(true);
  });

  for (
    const [name, change] of [
      ["may have been executed", { isUnexecuted: false }],
      ["was sent to an upstream that drains", { isUpstreamUsable: false }],
      ["has no retry budget", { hasBudget: false }],
      ["has reached its deadline", { leftMs: 100 }],
      ["has waited too long", { elapsedMs: FORWARDING_LIMITS.restoreTimeoutMs }],
    ] as const
  ) {
    it(`ends a request that ${name}`, () => {
      expect(decideRestoreRetry({ ...refused, ...change })).to.equal(false);
    });
  }
});
