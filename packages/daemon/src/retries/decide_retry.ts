import type { RequestKind } from "../routes/mod.ts";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import { RETRY_LIMITS } from "./constants.ts";
import { hasNotRun } from "./has_not_run.ts";

/** What is known of a request after an attempt. */
export interface AttemptHistory {
  readonly kind: RequestKind;
  readonly outcome: AttemptOutcome;
  /** Attempts that ran or may have run. */
  readonly ranAttempts: number;
  /** Attempts that did not run. */
  readonly unrunAttempts: number;
  readonly maxAttempts: number;
  /** The fleet's budget has room for another attempt. */
  readonly hasBudget: boolean;
  /** It has crashed more than one upstream. */
  readonly isQuarantined: boolean;
  readonly leftMs: number;
}

/** Another attempt, or the answer: the upstream's own, not run, or unknown. */
export type RetryDecision = "retry" | "passOn" | "notRun" | "unknown";

/** Decides what follows an attempt; only what is known not to have run is said to be so. */
export function decideRetry(history: AttemptHistory): RetryDecision {
  const { kind, outcome, ranAttempts } = history;
  if (outcome === "answered") {
    return "passOn";
  }
  const isUnrun = hasNotRun(outcome);
  const isAllowed = isUnrun
    ? history.unrunAttempts < RETRY_LIMITS.maxUnrunAttempts
    : kind === "repeatable" && ranAttempts < history.maxAttempts;
  const isPaid = outcome === "notSent" || history.hasBudget;
  if (isAllowed && isPaid && !history.isQuarantined && history.leftMs >= RETRY_LIMITS.minLeftMs) {
    return "retry";
  }
  if (outcome === "failed") {
    return "passOn";
  }
  return isUnrun && ranAttempts === 0 ? "notRun" : "unknown";
}
