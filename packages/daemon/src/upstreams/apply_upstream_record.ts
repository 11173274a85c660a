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
    const coldUntilMs = computeColdUntil(known, record, nowMs);
    state.upstreams.set(record.id, { ...known, record, isAbsent: false, coldUntilMs });
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
  const isPastStart = record.slowForMs === 0 && record.sequence > 1;
  const former = isSameIncarnation ? known : undefined;
  const upstream: Upstream = {
    record,
    status,
    sinceMs: nowMs,
    isAbsent: false,
    slowUntilMs,
    coldUntilMs: computeColdUntil(former, record, nowMs),
    startSeenMs: former?.startSeenMs ?? (isPastStart ? Number.NEGATIVE_INFINITY : nowMs),
  };
  state.upstreams.set(record.id, upstream);
  if (known !== undefined && !isSameIncarnation) {
    return { ...known, status: "gone", sinceMs: nowMs };
  }
  return status === "leaving" ? upstream : undefined;
}

/**
 * Computes the end of the cold time. A record that is read again keeps it, because the time left is
 * that of its write; of several ends the later one counts.
 */
function computeColdUntil(
  known: Upstream | undefined,
  record: UpstreamRecord,
  nowMs: number,
): number {
  const knownUntilMs = known?.coldUntilMs ?? Number.NEGATIVE_INFINITY;
  const isLater = known === undefined || record.sequence > known.record.sequence;
  return isLater && record.slowForMs > 0
    ? Math.max(knownUntilMs, nowMs + record.slowForMs)
    : knownUntilMs;
}
