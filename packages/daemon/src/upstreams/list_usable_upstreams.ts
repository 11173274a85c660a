import { isUpstreamReachable } from "./is_upstream_reachable.ts";
import type { Upstream, UpstreamState } from "./upstream_state.ts";

/**
 * Lists the upstreams of a service that may receive a request: the reachable ready ones. Falls back
 * to the reachable lapsed ones, then to all ready and lapsed ones.
 */
export function listUsableUpstreams(
  state: UpstreamState,
  service: string,
  nowMs: number,
): Upstream[] {
  const ofService = [...state.upstreams.values()].filter(({ record, status }) =>
    record.service === service && (status === "ready" || status === "lapsed")
  );
  const reachable = ofService.filter(({ record }) => isUpstreamReachable(state, record.id, nowMs));
  const ready = reachable.filter(({ status }) => status === "ready");
  return [ready, reachable, ofService].find((upstreams) => upstreams.length > 0) ?? [];
}
