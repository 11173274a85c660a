import { ADMISSION_LIMITS } from "./constants.ts";
import { createQueueOrder } from "./create_queue_order.ts";
import { estimateWaitMs } from "./estimate_wait_ms.ts";
import { advanceHeadroom } from "./headroom_state.ts";
import { hasRoom } from "./has_room.ts";
import type { LoadReport } from "./load_report.ts";
import { MEMORY_PROJECTION } from "./memory_projection.ts";
import type { OwnerEffect, RefusalReason } from "./owner_effect.ts";
import type { OwnerEvent } from "./owner_event.ts";
import type { OwnerState, RunningGeneration } from "./owner_state.ts";
import { projectEntry } from "./project_entry.ts";
import type { QueueEntry } from "./queue_entry.ts";
import { refreshProjections } from "./refresh_projections.ts";

/** Applies one event to the state of an upstream's owner; returns effects for entry daemons. */
export function decideOwner(state: OwnerState, event: OwnerEvent, nowMs: number): OwnerEffect[] {
  switch (event.type) {
    case "ask":
      return decideAsk(state, event.entry, nowMs);
    case "withdraw":
      state.queue.delete(event.id);
      return [];
    case "tokens":
      recordTokens(state, event.id, event.produced, nowMs);
      return [];
    case "adopt":
      restoreGrant(state, event.entry, event.produced, nowMs);
      return [];
    case "release":
      releaseGrant(state, event.id, event.produced, nowMs);
      return grantQueued(state, nowMs);
    case "report":
      return decideReport(state, event.report, nowMs);
    case "leave":
      state.isLeaving = true;
      return [...state.queue.values()].map((entry) => refuseEntry(state, entry, "leaving", 0));
    case "drainEnded":
      state.isLeaving = false;
      return [];
    case "tick":
      return decideTick(state, nowMs);
  }
}

function decideAsk(state: OwnerState, entry: QueueEntry, nowMs: number): OwnerEffect[] {
  if (state.running.has(entry.id)) {
    return [{ type: "grant", id: entry.id }];
  }
  if (state.isLeaving) {
    return [refuseEntry(state, entry, "leaving", 0)];
  }
  if (!state.limitsGrants) {
    startGrant(state, entry, 0, nowMs);
    return [{ type: "grant", id: entry.id }];
  }
  if (entry.promptTokens >= state.capacityTokens) {
    return [refuseEntry(state, entry, "tooLarge", ADMISSION_LIMITS.maxRetryAfterMs)];
  }
  if (entry.urgency <= ADMISSION_LIMITS.urgentClass) {
    state.lastUrgentMs = nowMs;
  }
  state.queue.set(entry.id, state.queue.get(entry.id) ?? entry);
  const effects = [...grantQueued(state, nowMs), ...refuseOverflow(state, nowMs)];
  if (!state.queue.has(entry.id)) {
    return effects;
  }
  const order = createQueueOrder(state.service, nowMs);
  const position = order.countBefore(state.queue.values(), entry);
  const expectedWaitMs = estimateWaitMs(state, position);
  const lateByMs = computeLatenessMs(state, entry, expectedWaitMs, nowMs);
  return lateByMs > 0
    ? [...effects, refuseEntry(state, entry, "late", lateByMs)]
    : [...effects, { type: "place", id: entry.id, position, expectedWaitMs }];
}

/**
 * Milliseconds by which even a response of optimistic length would miss its deadline; 0 or less
 * when it can meet the deadline.
 */
function computeLatenessMs(
  state: OwnerState,
  entry: QueueEntry,
  waitMs: number,
  nowMs: number,
): number {
  const remaining = state.predictor.predictRemaining({ ...entry, produced: 0 });
  const gapMs = state.gaps.estimateGapMs(state.running.size + 1);
  const serviceMs = remaining * ADMISSION_LIMITS.optimisticRemainingShare * gapMs;
  return nowMs + waitMs + serviceMs - entry.deadlineMs;
}

function refuseEntry(
  state: OwnerState,
  entry: QueueEntry,
  reason: RefusalReason,
  delayMs: number,
): OwnerEffect {
  state.queue.delete(entry.id);
  const { minRetryAfterMs, maxRetryAfterMs } = ADMISSION_LIMITS;
  const retryAfterMs = Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, delayMs)));
  return { type: "refuse", id: entry.id, reason, retryAfterMs };
}

function refuseOverflow(state: OwnerState, nowMs: number): OwnerEffect[] {
  if (state.queue.size <= ADMISSION_LIMITS.maxQueued) {
    return [];
  }
  const order = createQueueOrder(state.service, nowMs);
  const ranked = [...state.queue.values()].sort(order.compareEntries);
  return ranked.slice(ADMISSION_LIMITS.maxQueued)
    .map((entry) => refuseEntry(state, entry, "full", estimateWaitMs(state, ranked.length)));
}

function grantQueued(state: OwnerState, nowMs: number): OwnerEffect[] {
  if (state.queue.size === 0 || state.isLeaving) {
    return [];
  }
  const effects: OwnerEffect[] = [];
  const sums = MEMORY_PROJECTION.sumShares(state.running.values());
  const order = createQueueOrder(state.service, nowMs);
  for (;;) {
    const isTurnOfLongestWaiting =
      state.grantsSinceLongestWaiting >= ADMISSION_LIMITS.agedGrantInterval - 1;
    const longestWaiting = isTurnOfLongestWaiting
      ? order.findLongestWaiting(state.queue.values())
      : undefined;
    const entry = longestWaiting ?? order.findFirst(state.queue.values());
    if (entry === undefined) {
      break;
    }
    const share = projectEntry(state, entry, 0);
    const projectPeak = (deviations: number) =>
      MEMORY_PROJECTION.projectPeak(sums, share, deviations);
    if (!hasRoom(state, entry, nowMs, projectPeak)) {
      break;
    }
    state.grantsSinceLongestWaiting = longestWaiting === undefined
      ? state.grantsSinceLongestWaiting + 1
      : 0;
    state.queue.delete(entry.id);
    startGrant(state, entry, 0, nowMs);
    MEMORY_PROJECTION.addShare(sums, share);
    effects.push({ type: "grant", id: entry.id });
  }
  return effects;
}

function startGrant(state: OwnerState, entry: QueueEntry, produced: number, nowMs: number): void {
  state.running.set(entry.id, {
    ...projectEntry(state, entry, produced),
    entry,
    produced,
    remainingTokens: state.predictor.predictRemaining({ ...entry, produced }),
    lastProgressMs: nowMs,
    leaseUntilMs: nowMs + ADMISSION_LIMITS.grantLeaseMs,
  });
  state.service.recordTokens(entry.team, entry.promptTokens, nowMs);
}

function recordTokens(state: OwnerState, id: string, produced: number, nowMs: number): void {
  const running = state.running.get(id);
  if (running === undefined || produced < running.produced) {
    return;
  }
  const fresh = produced - running.produced;
  if (fresh > 0 && running.produced > 0) {
    recordGap(state, running, (nowMs - running.lastProgressMs) / fresh, nowMs);
  }
  state.service.recordTokens(running.entry.team, fresh, nowMs);
  state.running.set(id, {
    ...running,
    ...projectEntry(state, running.entry, produced),
    produced,
    remainingTokens: state.predictor.predictRemaining({ ...running.entry, produced }),
    lastProgressMs: fresh > 0 ? nowMs : running.lastProgressMs,
    leaseUntilMs: nowMs + ADMISSION_LIMITS.grantLeaseMs,
  });
}

function recordGap(
  state: OwnerState,
  running: RunningGeneration,
  gapMs: number,
  nowMs: number,
): void {
  state.gaps.recordGap(state.running.size, gapMs);
  const isAboveTarget = gapMs > running.entry.tokenGapMs * ADMISSION_LIMITS.gapAboveTargetFactor;
  if (isAboveTarget && nowMs - state.headroom.changedAtMs >= ADMISSION_LIMITS.gapRaiseIntervalMs) {
    state.headroom = advanceHeadroom(state.headroom, { type: "gapAboveTarget" }, nowMs);
  }
}

function restoreGrant(state: OwnerState, entry: QueueEntry, produced: number, nowMs: number): void {
  if (state.running.has(entry.id) || state.running.size >= ADMISSION_LIMITS.maxRunning) {
    return;
  }
  state.queue.delete(entry.id);
  startGrant(state, entry, produced, nowMs);
  const heldTokens = entry.promptTokens + produced;
  state.unattributedTokens = Math.max(0, state.unattributedTokens - heldTokens);
}

function releaseGrant(
  state: OwnerState,
  id: string,
  produced: number | undefined,
  nowMs: number,
): void {
  const running = state.running.get(id);
  if (running === undefined) {
    return;
  }
  state.running.delete(id);
  if (produced !== undefined) {
    state.predictor.recordLength(running.entry, produced, nowMs);
    const fresh = Math.max(0, produced - running.produced);
    state.service.recordTokens(running.entry.team, fresh, nowMs);
  }
}

function decideReport(
  state: OwnerState,
  report: LoadReport,
  nowMs: number,
): OwnerEffect[] {
  const previous = state.report;
  state.report = report;
  state.capacityTokens = report.capacityTokens;
  if (previous === undefined) {
    state.unattributedTokens = Math.max(
      0,
      report.usedTokens - computeHeldTokens(state.running.values()),
    );
  } else {
    const unattributedTokens = Math.max(
      0,
      report.usedTokens - computeHeldTokens(state.running.values()),
    );
    state.unattributedTokens = Math.min(state.unattributedTokens, unattributedTokens);
  }
  const preempted = report.preemptions - (previous?.preemptions ?? report.preemptions);
  if (preempted > 0) {
    const event = { type: "preempted", count: preempted } as const;
    state.headroom = advanceHeadroom(state.headroom, event, nowMs);
  }
  if (report.leaving) {
    return decideOwner(state, { type: "leave" }, nowMs);
  }
  return grantQueued(state, nowMs);
}

function computeHeldTokens(running: Iterable<RunningGeneration>): number {
  let sum = 0;
  for (const { heldTokens } of running) {
    sum += heldTokens;
  }
  return sum;
}

function decideTick(state: OwnerState, nowMs: number): OwnerEffect[] {
  state.headroom = advanceHeadroom(state.headroom, { type: "tick" }, nowMs);
  for (const [id, running] of state.running) {
    if (running.leaseUntilMs <= nowMs) {
      state.running.delete(id);
    }
  }
  refreshProjections(state, nowMs);
  const expired = [...state.queue.values()]
    .filter((entry) => computeLatenessMs(state, entry, 0, nowMs) > 0)
    .map((entry) => refuseEntry(state, entry, "late", estimateWaitMs(state, state.queue.size)));
  return [...expired, ...grantQueued(state, nowMs)];
}
