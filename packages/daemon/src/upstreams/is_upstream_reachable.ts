import type { UpstreamState } from "./upstream_state.ts";

/** Whether no connection of this host to the upstream has failed recently. */
export function isUpstreamReachable(
  state: Pick<UpstreamState, "unreachable">,
  id: string,
  nowMs: number,
): boolean {
  return (state.unreachable.get(id) ?? Number.NEGATIVE_INFINITY) <= nowMs;
}
