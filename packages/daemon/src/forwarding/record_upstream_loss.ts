import type { Upstream } from "../upstreams/mod.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/**
 * Reports to the quarantine that the connection to an upstream was lost before a request's first
 * output. A draining upstream is not reported: it closes its connections itself. Resolves once the
 * quarantine can decide on the request.
 */
export async function recordUpstreamLoss(
  context: Pick<ForwardingContext, "quarantine" | "upstreams">,
  request: Pick<ForwardedRequest, "fingerprint">,
  { record }: Upstream,
): Promise<void> {
  const known = context.upstreams.upstreams.get(record.id);
  if (known === undefined || (known.status !== "ready" && known.status !== "lapsed")) {
    return;
  }
  // A request that crashes the same upstream before and after a restart has crashed two upstreams,
  // so the key contains the start time.
  const upstreamStartKey = `${record.id}@${record.startedAt}`;
  await context.quarantine.recordUpstreamCrash(upstreamStartKey, {
    fingerprint: request.fingerprint,
    tokens: 0,
  });
}
