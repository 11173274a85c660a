import { expect } from "chai";
import { decideStreamRecovery } from "./decide_stream_recovery.ts";
import type { FailedStream, StreamRecovery } from "./decide_stream_recovery.ts";

const BROKEN: FailedStream = {
  isResumable: true,
  outcome: "broken",
  hasSentEvent: false,
  hasCopy: false,
  executedAttempts: 1,
  unexecutedAttempts: 0,
  maxAttempts: 2,
  hasBudget: true,
  isQuarantined: false,
  isSuspected: false,
  leftMs: 1_000,
};
const REFUSED: FailedStream = {
  ...BROKEN,
  outcome: "refused",
  executedAttempts: 0,
  unexecutedAttempts: 1,
};

describe("decideStreamRecovery", () => {
  // Short generations (3 events, `max_attempts` 2) whose engines are reclaimed every 3.3 s.
  const cases: readonly [string, FailedStream, StreamRecovery][] = [
    ["runs a stream again after a lost response", BROKEN, "runAgain"],
    [
      "runs a stream again after a crash within it",
      { ...BROKEN, hasSentEvent: true },
      "runAgain",
    ],
    [
      "tries the backup copy before it runs a stream again",
      { ...BROKEN, hasSentEvent: true, hasCopy: true },
      "resumeFromCopy",
    ],
    [
      "does not use a copy before the first event, as it may hold nothing",
      { ...BROKEN, hasCopy: true },
      "runAgain",
    ],
    ["runs a stream again after a 500", { ...BROKEN, outcome: "failed", status: 500 }, "runAgain"],
    [
      "relays a 400, which any engine would repeat",
      { ...BROKEN, outcome: "failed", status: 400 },
      "relay",
    ],
    [
      "relays a 500 when the attempts are used up",
      { ...BROKEN, outcome: "failed", status: 500, executedAttempts: 2 },
      "relay",
    ],
    [
      "ends as unknown when the attempts are used up",
      { ...BROKEN, executedAttempts: 2 },
      "unknown",
    ],
    [
      "cuts a started stream when the attempts are used up",
      { ...BROKEN, executedAttempts: 2, hasSentEvent: true },
      "cut",
    ],
    [
      "cuts a started stream whose last engine answered 500, as the response has begun",
      { ...BROKEN, outcome: "failed", status: 500, executedAttempts: 2, hasSentEvent: true },
      "cut",
    ],
    ["does not run again without retry budget", { ...BROKEN, hasBudget: false }, "unknown"],
    [
      "cuts a started stream without retry budget",
      { ...BROKEN, hasBudget: false, hasSentEvent: true },
      "cut",
    ],
    [
      "runs a quarantined request on no further engine",
      { ...BROKEN, isQuarantined: true },
      "unknown",
    ],
    [
      "runs a request with a suspected prompt part on no further engine",
      { ...BROKEN, isSuspected: true },
      "unknown",
    ],
    [
      "uses no copy for a request with a suspected prompt part",
      { ...BROKEN, isSuspected: true, hasCopy: true, hasSentEvent: true },
      "cut",
    ],
    ["does not run again when the time is over", { ...BROKEN, leftMs: 5 }, "unknown"],
    ["runs a stream once if the flag is not set", { ...BROKEN, isResumable: false }, "unknown"],
    [
      "cuts a started stream if the flag is not set",
      { ...BROKEN, isResumable: false, hasSentEvent: true },
      "cut",
    ],
    [
      "uses the backup copy of a stream if the flag is not set",
      { ...BROKEN, isResumable: false, hasSentEvent: true, hasCopy: true },
      "resumeFromCopy",
    ],
    ["sends a refused stream elsewhere", REFUSED, "runAgain"],
    [
      "sends a refused stream elsewhere if the flag is not set",
      { ...REFUSED, isResumable: false },
      "runAgain",
    ],
    ["answers 503 when every engine refused", { ...REFUSED, unexecutedAttempts: 4 }, "notRun"],
    [
      "never answers 503 after an attempt that may have been executed",
      { ...REFUSED, executedAttempts: 1, unexecutedAttempts: 4 },
      "unknown",
    ],
    [
      "tries a third engine after a crash and a refusal",
      { ...REFUSED, executedAttempts: 1 },
      "runAgain",
    ],
    [
      "needs no budget when nothing has reached an engine",
      { ...REFUSED, outcome: "notSent", hasBudget: false },
      "runAgain",
    ],
    [
      "needs budget for a further engine although the last one was not reached",
      { ...REFUSED, outcome: "notSent", hasBudget: false, executedAttempts: 1 },
      "unknown",
    ],
  ];
  for (const [title, failed, expected] of cases) {
    it(title, () => {
      expect(decideStreamRecovery(failed)).to.equal(expected);
    });
  }

  it("bounds the runs, and promises that none took place only if this is so", () => {
    const booleans = [false, true];
    for (const outcome of ["notSent", "refused", "failed", "broken"] as const) {
      for (const executedAttempts of [0, 1, 2, 3]) {
        for (const isResumable of booleans) {
          for (const hasSentEvent of booleans) {
            const isUnexecuted = outcome === "notSent" || outcome === "refused";
            const executed = isUnexecuted ? executedAttempts : executedAttempts + 1;
            const decision = decideStreamRecovery({
              ...BROKEN,
              ...{ outcome, isResumable, hasSentEvent, executedAttempts: executed, status: 500 },
            });
            const title = `${outcome} ${executed} ${isResumable} ${hasSentEvent}`;
            const maxRuns = isResumable ? 2 : 1;
            if (executed >= maxRuns) {
              expect(decision, title).to.not.equal("runAgain");
            }
            if (executed > 0) {
              expect(decision, title).to.not.equal("notRun");
            }
            if (hasSentEvent) {
              expect(decision, title).to.be.oneOf(["runAgain", "cut"]);
            }
          }
        }
      }
    }
  });
});
