import type { Problem } from "./problem_schema.ts";
import { RESULT_CODES } from "./result_codes.ts";
import type { ResultError } from "./result_error.ts";

/** Converts a result error to the problem document that callers receive. */
export function createProblem(error: ResultError): Problem {
  const entry = RESULT_CODES[error.code];
  const problem: Problem = {
    type: `urn:crocussail:result:${entry.number}`,
    title: entry.title,
    status: entry.status,
    detail: error.detail,
    code: entry.number,
    ran: error.ran,
    advice: entry.advice,
    ...error.members,
  };
  if (error.retryAfterMs !== undefined) {
    problem.retry_after_ms = Math.ceil(error.retryAfterMs);
  }
  return problem;
}
