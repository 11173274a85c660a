import { expect } from "chai";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import { decideRetry } from "./decide_retry.ts";
import type { AttemptHistory } from "./decide_retry.ts";

const OUTCOMES: readonly AttemptOutcome[] = ["notSent", "refused", "failed", "broken", "answered"];
const KINDS = ["repeatable", "once", "stream"] as const;

const createHistory = (change: Partial<AttemptHistory>): AttemptHistory => ({
  kind: "once",
  outcome: "broken",
  executedAttempts: 1,
  unexecutedAttempts: 0,
  maxAttempts: 2,
  hasBudget: true,
  isQuarantined: false,
  leftMs: 1_000,
  ...change,
});

describe("decideRetry", () => {
  const cases: readonly [string, Partial<AttemptHistory>, string][] = [
    ["relays a successful response", { outcome: "answered" }, "relay"],
    ["retries a repeatable request whose response is incomplete", { kind: "repeatable" }, "retry"],
    [
      "retries a repeatable request that failed",
      { kind: "repeatable", outcome: "failed" },
      "retry",
    ],
    [
      "relays the failure of a repeatable request after the last attempt",
      { kind: "repeatable", outcome: "failed", executedAttempts: 2 },
      "relay",
    ],
    [
      "relays the failure of a repeatable request when the budget is exhausted",
      { kind: "repeatable", outcome: "failed", hasBudget: false },
      "relay",
    ],
    [
      "does not retry a non-repeatable request that may have been executed",
      { outcome: "broken" },
      "unknown",
    ],
    ["relays the failure of a non-repeatable request", { outcome: "failed" }, "relay"],
    [
      "retries a non-repeatable request that was not executed",
      { outcome: "refused", executedAttempts: 0, unexecutedAttempts: 1 },
      "retry",
    ],
    [
      "retries a request that was not sent although the budget is exhausted",
      { outcome: "notSent", executedAttempts: 0, unexecutedAttempts: 1, hasBudget: false },
      "retry",
    ],
    [
      "reports not executed when the budget is exhausted and no attempt was executed",
      { outcome: "refused", executedAttempts: 0, unexecutedAttempts: 1, hasBudget: false },
      "notRun",
    ],
    [
      "never reports not executed after an attempt that may have been executed",
      { kind: "repeatable", outcome: "refused", unexecutedAttempts: 9 },
      "unknown",
    ],
    [
      "does not retry a quarantined repeatable request",
      { kind: "repeatable", isQuarantined: true },
      "unknown",
    ],
    [
      "reports not executed for a quarantined non-repeatable request that was refused",
      { outcome: "refused", executedAttempts: 0, unexecutedAttempts: 1, isQuarantined: true },
      "notRun",
    ],
    ["does not retry when too little time is left", { kind: "repeatable", leftMs: 5 }, "unknown"],
  ];
  for (const [title, change, expected] of cases) {
    it(title, () => {
      expect(decideRetry(createHistory(change))).to.equal(expected);
    });
  }

  it("never repeats an executed non-repeatable request nor reports it as not executed", () => {
    for (const kind of KINDS) {
      for (const outcome of OUTCOMES) {
        for (const earlierAttempts of [0, 1, 2]) {
          for (const hasBudget of [false, true]) {
            const isUnexecuted = outcome === "notSent" || outcome === "refused";
            const ran = earlierAttempts + Number(!isUnexecuted);
            const decision = decideRetry(
              createHistory({
                kind,
                outcome,
                hasBudget,
                executedAttempts: ran,
                unexecutedAttempts: 1,
              }),
            );
            if (kind !== "repeatable" && ran > 0) {
              expect(decision, `${kind} ${outcome} ${ran}`).to.not.equal("notRun");
              expect(decision === "retry" && !isUnexecuted).to.equal(false);
            }
            if (decision === "notRun") {
              expect(ran).to.equal(0);
            }
          }
        }
      }
    }
  });
});
