import type { Upstream } from "../upstreams/mod.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/**
 * Finds the key of an upstream whose connection was lost, for the quarantine; undefined for one that
 * is draining, because it closes its connections itself.
 */
export function findLostUpstreamKey(
  context: Pick<ForwardingContext, "upstreams">,
  { record }: Upstream,
): string | undefined {
  const known = context.upstreams.upstreams.get(record.id);
  if (known === undefined || (known.status !== "ready" && known.status !== "lapsed")) {
    return undefined;
  }
  // What crashes the same upstream before and after a restart has crashed two upstreams, so the key
  // contains the start time.
  return `${record.id}@${record.startedAt}`;
}
