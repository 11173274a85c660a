import type { ExecutionState } from "./execution_state.ts";
import type { ResultCodeName } from "./result_code_name.ts";

/** Typed failure of any operation; carried in the left side of an `Either`. */
export interface ResultError {
  readonly code: ResultCodeName;
  /** What was wrong: states the value and what to do. */
  readonly detail: string;
  /** Whether the request was executed. */
  readonly ran: ExecutionState;
  /** Earliest useful retry, in milliseconds from now. */
  readonly retryAfterMs?: number;
  /** Extra members of the problem document. */
  readonly members?: Readonly<Record<string, unknown>>;
}
