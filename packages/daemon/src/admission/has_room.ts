import { ADMISSION_LIMITS } from "./constants.ts";
import type { OwnerState } from "./owner_state.ts";
import type { QueueEntry } from "./queue_entry.ts";

/**
 * Returns whether an engine has room for one more generation: a batch slot within the token gap
 * target, and projected memory below the capacity less the headroom. For `urgentReserveMs` after an
 * urgent request, part of both is reserved for urgent entries.
 */
export function hasRoom(
  state: OwnerState,
  entry: QueueEntry,
  nowMs: number,
  projectPeak: (deviations: number) => number,
): boolean {
  if (state.report === undefined && state.running.size >= ADMISSION_LIMITS.maxGrantsBeforeReport) {
    return false;
  }
  const isUrgent = entry.urgency <= ADMISSION_LIMITS.urgentClass;
  if (isUrgent && nowMs - entry.arrivedMs >= ADMISSION_LIMITS.urgentBypassMs) {
    return state.running.size < state.maxBatch;
  }
  const hasRecentUrgent = nowMs - state.lastUrgentMs < ADMISSION_LIMITS.urgentReserveMs;
  const isReserved = hasRecentUrgent && !isUrgent;
  const slots = computeBatchLimit(state, entry) - (isReserved ? ADMISSION_LIMITS.urgentSlots : 0);
  if (state.running.size >= Math.max(1, slots)) {
    return false;
  }
  const reservedShare = isReserved ? ADMISSION_LIMITS.urgentMemoryShare : 0;
  const usableTokens = state.capacityTokens * (1 - state.headroom.share - reservedShare) -
    state.unattributedTokens;
  const isIdle = state.running.size === 0 && state.unattributedTokens === 0;
  return isIdle || projectPeak(ADMISSION_LIMITS.projectionDeviations) <= usableTokens;
}

function computeBatchLimit(state: OwnerState, entry: QueueEntry): number {
  let targetMs = entry.tokenGapMs;
  for (const running of state.running.values()) {
    targetMs = Math.min(targetMs, running.entry.tokenGapMs);
  }
  const limit = state.gaps.computeBatchLimit(
    targetMs * ADMISSION_LIMITS.gapTargetShare,
    state.maxBatch,
  );
  return Math.min(limit, ADMISSION_LIMITS.maxRunning);
}
