import { UPSTREAM_LIMITS } from "./constants.ts";
import type { UpstreamRecord } from "./upstream_record.ts";
import type { Upstream, UpstreamState } from "./upstream_state.ts";

/**
 * Whether a record may come from the older copy that the settings service was restored from: it is
 * not newer than what this host knew of an upstream that had left or restarted before.
 */
export function isRestoredRecord(
  state: Pick<UpstreamState, "restoredAtMs">,
  known: Upstream | undefined,
  record: UpstreamRecord,
  nowMs: number,
): boolean {
  if (
    known === undefined || known.sinceMs >= state.restoredAtMs ||
    nowMs - state.restoredAtMs > UPSTREAM_LIMITS.restoreGraceMs
  ) {
    return false;
  }
  const { startedAt, sequence } = known.record;
  const hasLeft = known.status === "leaving";
  return record.startedAt < startedAt ||
    (hasLeft && record.startedAt === startedAt && record.sequence <= sequence);
}
