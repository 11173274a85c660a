import type { RequestKind } from "../routes/mod.ts";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import { RETRY_LIMITS } from "./constants.ts";
import { hasNotExecuted } from "./has_not_executed.ts";

/** State of a request after an attempt. */
export interface AttemptHistory {
  readonly kind: RequestKind;
  /** A stream that may be resumed at any upstream, so that it may run more than once. */
  readonly isResumable?: boolean;
  readonly outcome: AttemptOutcome;
  /** Attempts that were or may have been executed. */
  readonly executedAttempts: number;
  /** Attempts that were not executed. */
  readonly unexecutedAttempts: number;
  readonly maxAttempts: number;
  /** The fleet's retry budget allows another attempt. */
  readonly hasBudget: boolean;
  /** The request is quarantined because it crashed more than one upstream. */
  readonly isQuarantined: boolean;
  readonly leftMs: number;
}

/**
 * `retry` starts another attempt; the others end the request: `relay` with the upstream's
 * response, `notRun` as not executed, `unknown` with an unknown execution state.
 */
export type RetryDecision = "retry" | "relay" | "notRun" | "unknown";

/**
 * Decides what follows an attempt. A request is reported as not executed only if this is known for
 * each of its attempts.
 */
export function decideRetry(history: AttemptHistory): RetryDecision {
  const { kind, outcome, executedAttempts } = history;
  if (outcome === "answered") {
    return "relay";
  }
  const isUnexecuted = hasNotExecuted(outcome);
  const isRepeatable = kind === "repeatable" || (kind === "stream" && history.isResumable === true);
  const isAllowed = isUnexecuted
    ? history.unexecutedAttempts < RETRY_LIMITS.maxUnexecutedAttempts
    : isRepeatable && executedAttempts < history.maxAttempts;
  const isWithinBudget = outcome === "notSent" || history.hasBudget;
  if (
    isAllowed && isWithinBudget && !history.isQuarantined &&
    history.leftMs >= RETRY_LIMITS.minLeftMs
  ) {
    return "retry";
  }
  if (outcome === "failed") {
    return "relay";
  }
  return isUnexecuted && executedAttempts === 0 ? "notRun" : "unknown";
}
