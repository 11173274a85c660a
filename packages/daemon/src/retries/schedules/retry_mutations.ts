import { decideRetry } from "../decide_retry.ts";
import type { AttemptHistory } from "../decide_retry.ts";
import type { RetryRule } from "./explore_schedules.ts";

const decideAs = (history: AttemptHistory, change: Partial<AttemptHistory>) =>
  decideRetry({ ...history, ...change });

/** Wrong rules, by what is wrong with them; a walk has to find each. */
export const RETRY_MUTATIONS: Readonly<Record<string, RetryRule>> = {
  "bookings are repeated like reads": (history) => decideAs(history, { kind: "repeatable" }),
  "streams are repeated like reads": (history) =>
    history.kind === "stream" ? decideAs(history, { kind: "repeatable" }) : decideRetry(history),
  "a lost answer counts as not sent": (history) =>
    history.outcome === "broken" ? decideAs(history, { outcome: "notSent" }) : decideRetry(history),
  "a lost answer counts as refused": (history) =>
    history.outcome === "broken" ? decideAs(history, { outcome: "refused" }) : decideRetry(history),
  "a failure counts as refused": (history) =>
    history.outcome === "failed" ? decideAs(history, { outcome: "refused" }) : decideRetry(history),
  "a lost answer is passed on": (history) =>
    history.outcome === "broken" ? "passOn" : decideRetry(history),
  "an unknown outcome is called not run": (history) => {
    const decision = decideRetry(history);
    return decision === "unknown" ? "notRun" : decision;
  },
  "earlier attempts are forgotten": (history) => decideAs(history, { ranAttempts: 0 }),
  "one attempt too many": (history) => decideAs(history, { maxAttempts: history.maxAttempts + 1 }),
  "refusals are not counted": (history) => decideAs(history, { unrunAttempts: 0 }),
  "the budget is not asked": (history) => decideAs(history, { hasBudget: true }),
  "a request that crashes upstreams goes on": (history) =>
    decideAs(history, { isQuarantined: false }),
  "the time left is not looked at": (history) => decideAs(history, { leftMs: 1_000 }),
  "an answer is asked for again": (history) =>
    history.outcome === "answered"
      ? decideAs(history, { outcome: "failed" })
      : decideRetry(history),
  "refusals are passed on": (history) =>
    history.outcome === "refused" && decideRetry(history) === "notRun"
      ? "passOn"
      : decideRetry(history),
};
