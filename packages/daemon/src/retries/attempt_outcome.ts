/**
 * How one attempt at an upstream ended: `notSent` before a byte was written; `refused` when the
 * upstream stated that it did not execute the request; `failed` with a complete response that is
 * not a success; `broken` without a complete response, so the request may have been executed;
 * `answered` with a complete successful response.
 */
export type AttemptOutcome = "notSent" | "refused" | "failed" | "broken" | "answered";
