import { FORWARDING_LIMITS } from "./constants.ts";

/** A refused request to resume a generation whose former stream has ended. */
export interface RefusedRestore {
  /** The upstream certainly did not resume the generation. */
  readonly isUnexecuted: boolean;
  /** The upstream with the copy may still be requested. */
  readonly isUpstreamUsable: boolean;
  /** Time since the former stream ended. */
  readonly elapsedMs: number;
  /** Time left to the caller's deadline. */
  readonly leftMs: number;
  /** The fleet's retry budget allows another attempt. */
  readonly hasBudget: boolean;
}

/**
 * Decides whether to request the upstream with the backup copy again. It answers the load on which
 * that upstream is full, or has not received the whole copy, at the moment at which the former one
 * fails: a caller waits for seconds for the next event, and a refused request was not executed.
 */
export function decideRestoreRetry(refused: RefusedRestore): boolean {
  return refused.isUnexecuted && refused.isUpstreamUsable && refused.hasBudget &&
    refused.elapsedMs + FORWARDING_LIMITS.backupRetryMs < FORWARDING_LIMITS.restoreTimeoutMs &&
    refused.leftMs > FORWARDING_LIMITS.backupRetryMs;
}
