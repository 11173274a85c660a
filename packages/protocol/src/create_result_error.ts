import type { ExecutionState } from "./execution_state.ts";
import type { ResultCodeName } from "./result_code_name.ts";
import { RESULT_CODES } from "./result_codes.ts";
import type { ResultError } from "./result_error.ts";

/** Optional parts of a result error. */
export interface ResultErrorOptions {
  /** Replaces the `ran` value of the result code table. */
  readonly ran?: ExecutionState;
  readonly retryAfterMs?: number;
  /** Extra members of the problem document. */
  readonly members?: Readonly<Record<string, unknown>>;
}

/** Creates a result error; `ran` comes from the result code table unless `options` sets it. */
export function createResultError(
  code: ResultCodeName,
  detail: string,
  options: ResultErrorOptions = {},
): ResultError {
  return { ran: RESULT_CODES[code].ran, ...options, code, detail };
}
