import { createResultError } from "@crocussail/protocol";
import type { ExecutionState, ResultError } from "@crocussail/protocol";
import type { PlacementEffect } from "./decide_placement.ts";
import type { FailedPlacement } from "./failed_placement.ts";

type FailReason = Extract<PlacementEffect, { readonly type: "fail" }>["reason"];

/**
 * Builds the error that tells the caller why its request failed.
 *
 * @param ran execution state of all placements together
 */
export function describeFailure(
  reason: FailReason,
  failed: FailedPlacement,
  ran: ExecutionState,
): ResultError {
  const members = { tokens: failed.deliveredTokens };
  const { detail } = failed.error;
  switch (reason) {
    case "quarantined":
      return createResultError("requestQuarantined", detail, { ran, members });
    case "deadline":
      return createResultError("timeout", `${detail}; the deadline has passed`, { ran, members });
    default:
      return { ...failed.error, ran, members };
  }
}
