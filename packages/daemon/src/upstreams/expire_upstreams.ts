import { UPSTREAM_LIMITS } from "./constants.ts";
import type { Upstream, UpstreamState } from "./upstream_state.ts";

/**
 * Drains lapsed upstreams whose record was not renewed in time and returns them; deletes removed
 * upstreams after the retention time, and expired entries of unreachable ones.
 */
export function expireUpstreams(state: UpstreamState, nowMs: number): Upstream[] {
  const ended: Upstream[] = [];
  for (const [id, untilMs] of state.unreachable) {
    if (untilMs <= nowMs) {
      state.unreachable.delete(id);
    }
  }
  for (const [id, { untilMs }] of state.pauses) {
    if (untilMs <= nowMs) {
      state.pauses.delete(id);
    }
  }
  for (const [id, untilMs] of state.pausesElsewhere) {
    if (untilMs <= nowMs) {
      state.pausesElsewhere.delete(id);
    }
  }
  for (const [id, upstream] of state.upstreams) {
    if (upstream.status === "leaving" || upstream.status === "gone") {
      if (nowMs - upstream.sinceMs > UPSTREAM_LIMITS.retentionMs) {
        state.upstreams.delete(id);
      }
      continue;
    }
    const lapsedMs = nowMs - Math.max(upstream.sinceMs, state.lastOutageAtMs);
    if (
      upstream.status === "lapsed" && !state.isSettingsServiceDown &&
      lapsedMs > UPSTREAM_LIMITS.lapseGraceMs
    ) {
      const drainingUpstream: Upstream = {
        ...upstream,
        status: "leaving",
        sinceMs: nowMs,
        isAbsent: true,
      };
      state.upstreams.set(id, drainingUpstream);
      ended.push(drainingUpstream);
    }
  }
  return ended;
}
