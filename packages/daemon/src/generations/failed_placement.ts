import type { RanState, ResultCodeName, ResultError } from "@crocussail/protocol";

/** A placement that did not lead to a whole answer. */
export interface FailedPlacement {
  /** Whether this placement ran. */
  readonly ran: RanState;
  readonly error: ResultError;
  /** Code of the last failure that the engine or its link showed. */
  readonly cause: ResultCodeName;
  /** Tokens that have reached the caller. */
  readonly deliveredTokens: number;
  /** Tokens that the engine had produced. */
  readonly producedTokens: number;
  readonly upstream: string;
  readonly url: string;
  readonly generation: string;
}
