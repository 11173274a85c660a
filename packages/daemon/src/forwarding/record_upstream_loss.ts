import type { Upstream } from "../upstreams/mod.ts";
import { findLostUpstreamKey } from "./find_lost_upstream_key.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/**
 * Reports to the quarantine that the connection to an upstream was lost before a request's first
 * output, unless this host has lost its links to all upstreams. Resolves once the quarantine can decide on the request.
 */
export async function recordUpstreamLoss(
  context: Pick<ForwardingContext, "quarantine" | "upstreams" | "reachability">,
  request: Pick<ForwardedRequest, "fingerprint">,
  upstream: Upstream,
): Promise<void> {
  const key = findLostUpstreamKey(context, upstream);
  if (key === undefined || !await context.reachability.verifyLinks(upstream.record.id)) {
    return;
  }
  await context.quarantine.recordUpstreamCrash(key, {
    fingerprint: request.fingerprint,
    tokens: 0,
  });
}
