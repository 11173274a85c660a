import { applyUpstreamRecord } from "./apply_upstream_record.ts";
import type { UpstreamRecord } from "./upstream_record.ts";
import type { Upstream, UpstreamState } from "./upstream_state.ts";

/**
 * Applies a record that another host has read, unless this incarnation or a later one is known: the
 * report may be older than what this host knows. Returns the former incarnation if it was replaced.
 */
export function applyJoinedRecord(
  state: UpstreamState,
  record: UpstreamRecord,
  nowMs: number,
): Upstream | undefined {
  const known = state.upstreams.get(record.id);
  if (known !== undefined && known.record.startedAt >= record.startedAt) {
    return undefined;
  }
  return applyUpstreamRecord(state, record, nowMs);
}
