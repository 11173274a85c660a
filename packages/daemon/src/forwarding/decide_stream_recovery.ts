import { decideRetry } from "../retries/mod.ts";
import type { AttemptOutcome } from "../retries/mod.ts";

/** State of a generation after its engine refused it, failed it or broke off its stream. */
export interface FailedStream {
  /** The route allows streams to be resumed at any engine. */
  readonly isResumable: boolean;
  readonly outcome: Exclude<AttemptOutcome, "answered">;
  /** Status of the engine's complete response; undefined without one. */
  readonly status?: number;
  /** An event has been sent to the caller. */
  readonly hasSentEvent: boolean;
  /** A backup copy of its KV cache has not been tried yet. */
  readonly hasCopy: boolean;
  /** Engines that ran or may have run it, the failed one included. */
  readonly executedAttempts: number;
  /** Attempts that were certainly not executed. */
  readonly unexecutedAttempts: number;
  readonly maxAttempts: number;
  /** The fleet's retry budget allows another attempt. */
  readonly hasBudget: boolean;
  /** The request, or a part of its prompt, is quarantined. */
  readonly isQuarantined: boolean;
  /** Two crashes point to a part of its prompt. */
  readonly isSuspected: boolean;
  readonly leftMs: number;
}

/**
 * `resumeFromCopy` and `runAgain` continue the stream at another engine. The others end the request:
 * `relay` with the engine's response, `notRun` as not executed, `unknown` with an unknown execution
 * state, and `cut` by closing the connection to the caller.
 */
export type StreamRecovery =
  | "resumeFromCopy"
  | "runAgain"
  | "relay"
  | "notRun"
  | "unknown"
  | "cut";

/** Lowest status of a failure of the engine; a lower one is the request's own fault everywhere. */
const SERVER_FAILURE_STATUS = 500;

/**
 * Decides what follows a failed attempt of a stream. A copy comes first because it costs no prefill
 * and no attempt. A stream of another route runs at most once, so only a refused one is sent again.
 */
export function decideStreamRecovery(failed: FailedStream): StreamRecovery {
  const { executedAttempts, hasSentEvent, outcome } = failed;
  const isHeldBack = failed.isQuarantined || (executedAttempts > 0 && failed.isSuspected);
  if (failed.hasCopy && hasSentEvent && !isHeldBack) {
    return "resumeFromCopy";
  }
  const isRequestFault = outcome === "failed" && (failed.status ?? 0) < SERVER_FAILURE_STATUS;
  // An attempt that was not sent is retried without budget only while nothing has reached an engine.
  const needsBudget = executedAttempts > 0 || outcome !== "notSent";
  const decision = decideRetry({
    kind: "stream",
    isResumable: failed.isResumable && !isRequestFault,
    outcome,
    executedAttempts,
    unexecutedAttempts: failed.unexecutedAttempts,
    maxAttempts: failed.maxAttempts,
    hasBudget: failed.hasBudget,
    isQuarantined: isHeldBack || (needsBudget && !failed.hasBudget),
    leftMs: failed.leftMs,
  });
  const maxExecuted = failed.isResumable ? failed.maxAttempts : 1;
  const mayRun = decision === "retry" && executedAttempts < maxExecuted;
  if (mayRun) {
    return "runAgain";
  }
  if (hasSentEvent) {
    return "cut";
  }
  return decision === "retry" ? "unknown" : decision;
}
