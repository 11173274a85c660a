import type { Upstream, UpstreamState } from "./upstream_state.ts";

/**
 * Applies the upstream's own word or another host's report that one incarnation of an upstream is
 * draining; returns the upstream if its status changed. `isAbsent` states that the other host only
 * found the record missing.
 */
export function markUpstreamLeaving(
  state: UpstreamState,
  id: string,
  startedAt: number,
  isAbsent: boolean,
  nowMs: number,
): Upstream | undefined {
  const known = state.upstreams.get(id);
  if (
    known === undefined || known.record.startedAt !== startedAt || known.status === "gone"
  ) {
    return undefined;
  }
  if (known.status === "leaving") {
    state.upstreams.set(id, { ...known, isAbsent: known.isAbsent && isAbsent });
    return undefined;
  }
  const upstream: Upstream = { ...known, status: "leaving", sinceMs: nowMs, isAbsent };
  state.upstreams.set(id, upstream);
  return upstream;
}
