import type { RanState } from "@crocussail/protocol";

/** Merges what is known of several placements: one that ran, or may have run, decides. */
export function mergeRan(left: RanState, right: RanState): RanState {
  if (left === "yes" || right === "yes") {
    return "yes";
  }
  return left === "unknown" || right === "unknown" ? "unknown" : "no";
}
