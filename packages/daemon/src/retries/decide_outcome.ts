import type { AnswerHead } from "./answer_head.ts";
import type { AttemptOutcome } from "./attempt_outcome.ts";

/** Statuses that guarantee that the request was not executed and never will be. */
const NOT_EXECUTED_STATUSES = new Set([408, 421, 429, 503]);

/**
 * Decides the outcome of a request from its complete response, with the reason. A request counts as
 * not executed only if the upstream states so, and not of another request; a refusal may lack the id.
 */
export function decideOutcome(
  status: number,
  head: AnswerHead | undefined,
  requestId: string,
): [Exclude<AttemptOutcome, "notSent">, string] {
  const hasNoId = head?.requestId === undefined || head.requestId === "";
  if (head?.hasNotExecuted === true && (hasNoId || head.requestId === requestId)) {
    return ["refused", `upstream refused with ${status}`];
  }
  if (head === undefined || head.requestId !== requestId || head.isEncoded) {
    return ["broken", "response does not belong to this request"];
  }
  if (status >= 200 && status < 300) {
    return head.isSigned ? ["answered", ""] : ["broken", "response has no signature"];
  }
  // These statuses imply that the request was not executed, but this upstream did not state so.
  return NOT_EXECUTED_STATUSES.has(status)
    ? [
      "broken",
      `upstream responded with ${status} without stating that it did not execute the request`,
    ]
    : ["failed", `upstream responded with ${status}`];
}
