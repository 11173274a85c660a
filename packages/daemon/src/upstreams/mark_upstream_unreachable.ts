import { UPSTREAM_LIMITS } from "./constants.ts";
import type { UpstreamState } from "./upstream_state.ts";

/** Records a failed connection; local observations take precedence over the published list. */
export function markUpstreamUnreachable(state: UpstreamState, id: string, nowMs: number): void {
  if (state.upstreams.has(id)) {
    state.unreachable.set(id, nowMs + UPSTREAM_LIMITS.unreachableMs);
  }
}
