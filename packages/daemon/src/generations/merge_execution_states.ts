import type { ExecutionState } from "@crocussail/protocol";

/** Merges the execution states of placements: `yes` takes precedence, then `unknown`, then `no`. */
export function mergeExecutionStates(left: ExecutionState, right: ExecutionState): ExecutionState {
  if (left === "yes" || right === "yes") {
    return "yes";
  }
  return left === "unknown" || right === "unknown" ? "unknown" : "no";
}
