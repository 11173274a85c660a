import type { UpstreamCandidate } from "../balancing/mod.ts";
import { computeMaxWait } from "./compute_max_wait.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/** Where a request goes that finds no room at a brittle upstream now. */
export type BrittleRoom =
  | { readonly type: "turn" }
  | { readonly type: "elsewhere"; readonly hosts: ReadonlySet<string> }
  | { readonly type: "none" }
  | { readonly type: "full"; readonly retryAfterMs: number };

/**
 * Claims room at brittle upstreams: waits for it at those that this host owns, or names the hosts
 * that own the others, in proportion to their number.
 */
export async function claimBrittleRoom(
  { brittle, localHost, random }: ForwardingContext,
  request: ForwardedRequest,
  candidates: readonly UpstreamCandidate[],
  canHandOver: boolean,
): Promise<BrittleRoom> {
  const owners = candidates.map(({ upstream }) => brittle.findOwner(upstream.record));
  const others = owners.filter((host) => host !== localHost);
  const ownShare = 1 - others.length / owners.length;
  if (canHandOver && others.length > 0 && random.nextFloat() >= ownShare) {
    return { type: "elsewhere", hosts: new Set(others) };
  }
  if (ownShare === 0) {
    return { type: "none" };
  }
  const service = request.service.name;
  const isTurn = await brittle.waitForRoom(service, {
    priority: request.priority,
    arrivedAtMs: request.arrivedAtMs,
    untilMs: request.arrivedAtMs + computeMaxWait(request),
  });
  if (isTurn) {
    return { type: "turn" };
  }
  const waitMs = Math.min(brittle.estimateWaitMs(service), FORWARDING_LIMITS.retryAfterMs);
  const spreadMs = random.nextFloat() * FORWARDING_LIMITS.retrySpreadMs;
  return { type: "full", retryAfterMs: Math.ceil(waitMs + spreadMs) };
}
