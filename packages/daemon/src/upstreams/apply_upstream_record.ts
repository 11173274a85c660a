import { isRestoredRecord } from "./is_restored_record.ts";
import type { UpstreamRecord } from "./upstream_record.ts";
import type { Upstream, UpstreamState } from "./upstream_state.ts";

/**
 * Applies a published record unless it comes from before a restore of the settings service; returns the upstream if its draining is new, or the former one,
 * with the status `gone`, if it was replaced.
 */
export function applyUpstreamRecord(
  state: UpstreamState,
  record: UpstreamRecord,
  nowMs: number,
): Upstream | undefined {
  const known = state.upstreams.get(record.id);
  if (isRestoredRecord(state, known, record, nowMs)) {
    return undefined;
  }
  const isSameIncarnation = known?.record.startedAt === record.startedAt &&
    known.record.address === record.address;
  const status = record.isLeaving ? "leaving" : "ready";
  if (known !== undefined && isSameIncarnation && known.status === status) {
    state.upstreams.set(record.id, { ...known, record, isAbsent: false });
    return undefined;
  }
  // An upstream that reported that it drains cannot become ready again in the same incarnation; one
  // that counts as draining only because its record was missing can. A restart has another
  // `startedAt`.
  if (known?.status === "leaving" && isSameIncarnation && !known.isAbsent) {
    return undefined;
  }
  // End of the slow start, which only a new incarnation begins.
  const slowUntilMs = isSameIncarnation && known !== undefined
    ? known.slowUntilMs
    : nowMs + record.slowForMs;
  const upstream: Upstream = {
    record,
    status,
    sinceMs: nowMs,
    isAbsent: false,
    slowUntilMs,
  };
  state.upstreams.set(record.id, upstream);
  if (known !== undefined && !isSameIncarnation) {
    return { ...known, status: "gone", sinceMs: nowMs };
  }
  return status === "leaving" ? upstream : undefined;
}
