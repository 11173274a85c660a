import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import type { RefusalReason } from "./owner_effect.ts";

const DETAILS: Record<RefusalReason, string> = {
  late: "no engine can complete this response by its deadline",
  full: "the queues of the engines are full",
  leaving: "the engines that serve this model are draining",
  tooLarge: "the prompt is larger than an engine's memory",
};

/** Creates the error for a request that the owners refused; it was not executed. */
export function createRefusal(reason: RefusalReason, retryAfterMs: number): ResultError {
  if (reason === "tooLarge") {
    return createResultError("promptTooLarge", DETAILS[reason]);
  }
  const code = reason === "leaving" ? "noUpstream" : "overloaded";
  return createResultError(code, DETAILS[reason], { retryAfterMs });
}
