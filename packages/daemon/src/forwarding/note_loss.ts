import type { Upstream } from "../upstreams/mod.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/**
 * Tells the quarantine that an upstream was lost in a request's first steps. One that leaves takes
 * its connections with it, which is no request's doing. Resolves when the request may be judged.
 */
export async function noteLoss(
  context: Pick<ForwardingContext, "quarantine" | "upstreams">,
  request: Pick<ForwardedRequest, "fingerprint">,
  { record }: Upstream,
): Promise<void> {
  const known = context.upstreams.upstreams.get(record.id);
  if (known === undefined || (known.status !== "ready" && known.status !== "lapsed")) {
    return;
  }
  // Another start under the same id is another upstream to a request that crashes them.
  const lifetime = `${record.id}@${record.startedAt}`;
  await context.quarantine.noteDeath(lifetime, { fingerprint: request.fingerprint, tokens: 0 });
}
