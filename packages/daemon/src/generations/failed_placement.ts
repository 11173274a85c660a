import type { ExecutionState, ResultCodeName, ResultError } from "@crocussail/protocol";

/** A placement that did not lead to a complete response. */
export interface FailedPlacement {
  /** Whether this placement was executed. */
  readonly ran: ExecutionState;
  readonly error: ResultError;
  /** Code of the last failure of the engine or of the connection to it. */
  readonly cause: ResultCodeName;
  /** Number of tokens that have reached the caller, or may have. */
  readonly deliveredTokens: number;
  /** Number of tokens that the engine had produced. */
  readonly producedTokens: number;
  readonly upstream: string;
  readonly url: string;
  readonly generation: string;
}
