import type { Problem } from "@crocussail/protocol";
import type { LoadOutcome } from "./load_outcome.ts";

/** Returns the result that a problem states; without a problem the request was answered. */
export function getCallResult(problem: Problem | undefined): LoadOutcome["result"] {
  if (problem === undefined) {
    return "answered";
  }
  return problem.ran === "no" ? "refused" : "unknown";
}
