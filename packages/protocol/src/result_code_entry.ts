import type { ExecutionState } from "./execution_state.ts";

/** One row of the result code table. */
export interface ResultCodeEntry {
  /** Stable number shown to callers and operators. */
  readonly number: number;
  /** HTTP status sent with the problem document. */
  readonly status: number;
  /** Whether the request was executed, unless the error states otherwise. */
  readonly ran: ExecutionState;
  /** One-line summary, sentence case, no trailing period. */
  readonly title: string;
  /** What the caller or operator should do next. */
  readonly advice: string;
}
