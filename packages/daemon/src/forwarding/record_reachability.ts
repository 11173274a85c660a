import type { AttemptOutcome } from "../retries/mod.ts";
import { markUpstreamUnreachable } from "../upstreams/mod.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/** Marks an upstream as unreachable for a while after a connection to it failed. */
export function recordReachability(
  context: Pick<ForwardingContext, "upstreams" | "clock">,
  upstreamId: string,
  outcome: AttemptOutcome,
): void {
  if (outcome === "notSent") {
    markUpstreamUnreachable(context.upstreams, upstreamId, context.clock.readMonotonicMs());
  }
}
