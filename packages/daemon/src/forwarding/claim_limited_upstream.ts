import type { Upstream } from "../upstreams/mod.ts";
import { claimPermit } from "./claim_permit.ts";
import type { PermitOptions } from "./claim_permit.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/** Options of {@link claimLimitedUpstream}. */
export interface LimitedUpstreamOptions extends Omit<PermitOptions, "upstream"> {
  /** Limited upstreams in order of preference. */
  readonly candidates: readonly Upstream[];
  /** Whether the request has ended and needs no permit any more. */
  readonly hasEnded: () => boolean;
}

/** The upstream that a permit was granted for, or the time after which the caller may return. */
export type LimitedUpstreamResult =
  | { readonly type: "granted"; readonly upstream: Upstream }
  | { readonly type: "refused"; readonly retryAfterMs: number };

/**
 * Claims a permit of the first upstream that has one now. If none has, the request waits for the
 * one that is expected to have the first, if it may wait.
 */
export async function claimLimitedUpstream(
  context: Pick<ForwardingContext, "limits" | "upstreams" | "clock">,
  { candidates, hasEnded, waitMs, patientMs, ...options }: LimitedUpstreamOptions,
): Promise<LimitedUpstreamResult> {
  const canWait = Math.max(waitMs, patientMs) > 0;
  const isOnly = canWait && candidates.length === 1;
  let first = candidates[0];
  let firstFreeMs = Number.POSITIVE_INFINITY;
  for (const upstream of isOnly ? [] : candidates) {
    let freeInMs = context.limits.getFreeInMs(upstream.record);
    if (freeInMs === 0 && !hasEnded()) {
      const result = await claimPermit(context, {
        ...options,
        upstream,
        waitMs: 0,
        patientMs: 0,
      });
      if (result.type === "granted") {
        return { type: "granted", upstream };
      }
      freeInMs = result.freeInMs;
    }
    if (freeInMs < firstFreeMs) {
      first = upstream;
      firstFreeMs = freeInMs;
    }
  }
  if (first === undefined || !canWait || hasEnded()) {
    return { type: "refused", retryAfterMs: Math.ceil(firstFreeMs) };
  }
  const result = await claimPermit(context, { ...options, upstream: first, waitMs, patientMs });
  return result.type === "granted"
    ? { type: "granted", upstream: first }
    : { type: "refused", retryAfterMs: result.retryAfterMs };
}
