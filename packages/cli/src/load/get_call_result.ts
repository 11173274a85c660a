import type { Problem } from "@crocussail/protocol";
import type { LoadOutcome } from "./load_outcome.ts";

/** Returns what a problem says about the request; without one it was answered. */
export function getCallResult(problem: Problem | undefined): LoadOutcome["result"] {
  if (problem === undefined) {
    return "answered";
  }
  return problem.ran === "no" ? "refused" : "unknown";
}
