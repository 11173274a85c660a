import { UPSTREAM_LIMITS } from "./constants.ts";
import type { Upstream, UpstreamState } from "./upstream_state.ts";

/**
 * Applies the removal of a record; returns the upstream if it started draining. A removal during or
 * soon after an outage of the settings service may only mean that the record could not be renewed.
 */
export function applyUpstreamRemoval(
  state: UpstreamState,
  id: string,
  nowMs: number,
): Upstream | undefined {
  const known = state.upstreams.get(id);
  if (known === undefined || known.status === "leaving" || known.status === "gone") {
    return undefined;
  }
  const isUncertain = state.isSettingsServiceDown ||
    nowMs - state.lastOutageAtMs <= UPSTREAM_LIMITS.lapseGraceMs;
  if (isUncertain) {
    if (known.status !== "lapsed") {
      state.upstreams.set(id, { ...known, status: "lapsed", sinceMs: nowMs });
    }
    return undefined;
  }
  const upstream: Upstream = { ...known, status: "leaving", sinceMs: nowMs, isAbsent: true };
  state.upstreams.set(id, upstream);
  return upstream;
}
