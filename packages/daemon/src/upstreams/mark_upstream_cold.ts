import type { UpstreamState } from "./upstream_state.ts";

/**
 * Records that one incarnation of an upstream is cold until `untilMs`, unless a later end is known.
 */
export function markUpstreamCold(
  state: Pick<UpstreamState, "upstreams">,
  { id, startedAt }: { readonly id: string; readonly startedAt: number },
  untilMs: number,
): void {
  const known = state.upstreams.get(id);
  if (known?.record.startedAt === startedAt && known.coldUntilMs < untilMs) {
    state.upstreams.set(id, { ...known, coldUntilMs: untilMs });
  }
}
