import type { PeerLoads } from "../balancing/mod.ts";
import { computeFreedTokens } from "../waiting/mod.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/** Records the engine memory that became free between two loads of one host. */
export function recordFreedRoom(
  context: Pick<ForwardingContext, "upstreams" | "roomRate" | "clock">,
  before: PeerLoads["loads"],
  after: PeerLoads["loads"],
): void {
  for (const [id, tokens] of computeFreedTokens(before, after)) {
    const service = context.upstreams.upstreams.get(id)?.record.service;
    if (service !== undefined) {
      context.roomRate.recordFreed(service, tokens, context.clock.readMonotonicMs());
    }
  }
}
