import { decideRetry } from "../decide_retry.ts";
import type { AttemptHistory } from "../decide_retry.ts";
import type { RetryRule } from "./explore_schedules.ts";

const decideAs = (history: AttemptHistory, change: Partial<AttemptHistory>) =>
  decideRetry({ ...history, ...change });

/** Faulty retry rules by a description of their fault; the exploration must detect each. */
export const RETRY_MUTATIONS: Readonly<Record<string, RetryRule>> = {
  "non-repeatable requests are retried like repeatable ones": (history) =>
    decideAs(history, { kind: "repeatable" }),
  "streams are retried like repeatable requests": (history) =>
    history.kind === "stream" ? decideAs(history, { kind: "repeatable" }) : decideRetry(history),
  "a lost response counts as not sent": (history) =>
    history.outcome === "broken" ? decideAs(history, { outcome: "notSent" }) : decideRetry(history),
  "a lost response counts as refused": (history) =>
    history.outcome === "broken" ? decideAs(history, { outcome: "refused" }) : decideRetry(history),
  "a failure counts as refused": (history) =>
    history.outcome === "failed" ? decideAs(history, { outcome: "refused" }) : decideRetry(history),
  "a lost response is relayed": (history) =>
    history.outcome === "broken" ? "relay" : decideRetry(history),
  "an unknown outcome is reported as not executed": (history) => {
    const decision = decideRetry(history);
    return decision === "unknown" ? "notRun" : decision;
  },
  "earlier attempts are not counted": (history) => decideAs(history, { executedAttempts: 0 }),
  "one attempt above the limit is allowed": (history) =>
    decideAs(history, { maxAttempts: history.maxAttempts + 1 }),
  "refusals are not counted": (history) => decideAs(history, { unexecutedAttempts: 0 }),
  "the budget is ignored": (history) => decideAs(history, { hasBudget: true }),
  "a quarantined request is retried": (history) => decideAs(history, { isQuarantined: false }),
  "the remaining time is ignored": (history) => decideAs(history, { leftMs: 1_000 }),
  "a successful request is retried": (history) =>
    history.outcome === "answered"
      ? decideAs(history, { outcome: "failed" })
      : decideRetry(history),
  "refusals are relayed": (history) =>
    history.outcome === "refused" && decideRetry(history) === "notRun"
      ? "relay"
      : decideRetry(history),
};
