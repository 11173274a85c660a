import { expect } from "chai";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import { decideRetry } from "./decide_retry.ts";
import type { AttemptHistory } from "./decide_retry.ts";

const OUTCOMES: readonly AttemptOutcome[] = ["notSent", "refused", "failed", "broken", "answered"];
const KINDS = ["repeatable", "once", "stream"] as const;

const createHistory = (change: Partial<AttemptHistory>): AttemptHistory => ({
  kind: "once",
  outcome: "broken",
  ranAttempts: 1,
  unrunAttempts: 0,
  maxAttempts: 2,
  hasBudget: true,
  isQuarantined: false,
  leftMs: 1_000,
  ...change,
});

describe("decideRetry", () => {
  const cases: readonly [string, Partial<AttemptHistory>, string][] = [
    ["passes an answer on", { outcome: "answered" }, "passOn"],
    ["sends a read that broke to another upstream", { kind: "repeatable" }, "retry"],
    [
      "sends a read that failed to another upstream",
      { kind: "repeatable", outcome: "failed" },
      "retry",
    ],
    [
      "passes a read's failure on after the last attempt",
      { kind: "repeatable", outcome: "failed", ranAttempts: 2 },
      "passOn",
    ],
    [
      "passes a read's failure on when the budget is spent",
      { kind: "repeatable", outcome: "failed", hasBudget: false },
      "passOn",
    ],
    ["never sends a booking again that may have run", { outcome: "broken" }, "unknown"],
    ["passes a booking's failure on", { outcome: "failed" }, "passOn"],
    [
      "sends a booking that did not run to another upstream",
      { outcome: "refused", ranAttempts: 0, unrunAttempts: 1 },
      "retry",
    ],
    [
      "sends what was not sent again without budget",
      { outcome: "notSent", ranAttempts: 0, unrunAttempts: 1, hasBudget: false },
      "retry",
    ],
    [
      "says not run when the budget is spent and nothing ran",
      { outcome: "refused", ranAttempts: 0, unrunAttempts: 1, hasBudget: false },
      "notRun",
    ],
    [
      "never says not run after an attempt that may have run",
      { kind: "repeatable", outcome: "refused", unrunAttempts: 9 },
      "unknown",
    ],
    [
      "does not send a read again that has crashed more than one upstream",
      { kind: "repeatable", isQuarantined: true },
      "unknown",
    ],
    [
      "says not run of a booking that crashed others before and was refused now",
      { outcome: "refused", ranAttempts: 0, unrunAttempts: 1, isQuarantined: true },
      "notRun",
    ],
    ["begins nothing that has no time left", { kind: "repeatable", leftMs: 5 }, "unknown"],
  ];
  for (const [title, change, expected] of cases) {
    it(title, () => {
      expect(decideRetry(createHistory(change))).to.equal(expected);
    });
  }

  it("keeps both promises over every combination", () => {
    for (const kind of KINDS) {
      for (const outcome of OUTCOMES) {
        for (const ranAttempts of [0, 1, 2]) {
          for (const hasBudget of [false, true]) {
            const hasNotRun = outcome === "notSent" || outcome === "refused";
            const ran = ranAttempts + Number(!hasNotRun);
            const decision = decideRetry(
              createHistory({ kind, outcome, hasBudget, ranAttempts: ran, unrunAttempts: 1 }),
            );
            if (kind !== "repeatable" && ran > 0) {
              expect(decision, `${kind} ${outcome} ${ran}`).to.not.equal("notRun");
              expect(decision === "retry" && !hasNotRun).to.equal(false);
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
