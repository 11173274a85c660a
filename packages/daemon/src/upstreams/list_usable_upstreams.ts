import { getPauseMs } from "./get_pause_ms.ts";
import { isEvacuated } from "./is_evacuated.ts";
import { isUpstreamReachable } from "./is_upstream_reachable.ts";
import type { Upstream, UpstreamState } from "./upstream_state.ts";

/**
 * Lists the upstreams of a service that may receive a request: the reachable ready ones, those first
 * that have asked no other host for a pause. Falls back to the reachable lapsed ones, then to all
 * ready and lapsed ones. One that has asked this host for a pause, or lies in an evacuated data
 * centre, is never listed.
 */
export function listUsableUpstreams(
  state: UpstreamState,
  service: string,
  nowMs: number,
): Upstream[] {
  const ofService = [...state.upstreams.values()].filter(({ record, status }) =>
    record.service === service && (status === "ready" || status === "lapsed") &&
    getPauseMs(state, record, nowMs) === 0 && !isEvacuated(state, record)
  );
  const reachable = ofService.filter(({ record }) => isUpstreamReachable(state, record.id, nowMs));
  const ready = reachable.filter(({ status }) => status === "ready");
  const preferred = ready.filter(({ record }) =>
    (state.pausesElsewhere.get(record.id) ?? Number.NEGATIVE_INFINITY) <= nowMs
  );
  return [preferred, ready, reachable, ofService].find((upstreams) => upstreams.length > 0) ?? [];
}
