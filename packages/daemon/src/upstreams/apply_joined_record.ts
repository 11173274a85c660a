import { applyUpstreamRecord } from "./apply_upstream_record.ts";
import type { UpstreamRecord } from "./upstream_record.ts";
import type { Upstream, UpstreamState } from "./upstream_state.ts";

/**
 * Applies a record that another host has read at `readAtMs`, unless this host knows something later:
 * a later incarnation, that this one drains, or that its record was missing after that read. Returns
 * the former incarnation if it was replaced.
 */
export function applyJoinedRecord(
  state: UpstreamState,
  record: UpstreamRecord,
  readAtMs: number,
  nowMs: number,
): Upstream | undefined {
  const known = state.upstreams.get(record.id);
  if (known === undefined || known.record.startedAt < record.startedAt) {
    return applyUpstreamRecord(state, record, nowMs);
  }
  const isMissing = known.status === "lapsed" || (known.status === "leaving" && known.isAbsent);
  const isRead = known.record.startedAt === record.startedAt && known.sinceMs < readAtMs;
  return isMissing && isRead ? applyUpstreamRecord(state, record, nowMs) : undefined;
}
