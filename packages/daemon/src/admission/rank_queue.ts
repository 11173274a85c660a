import { ADMISSION_LIMITS } from "./constants.ts";
import type { QueueEntry } from "./queue_entry.ts";
import type { TeamService } from "./create_team_service.ts";

/** Keys by which one entry is ordered, most significant first; smaller goes first. */
type RankKeys = readonly [number, number, number, number, number];

/**
 * Orders the queue: urgency class raised by waiting, then entries that run out of time, then the
 * team least served for its weight, then the deadline, then the arrival.
 */
export function rankQueue(
  entries: Iterable<QueueEntry>,
  service: TeamService,
  nowMs: number,
): QueueEntry[] {
  return [...entries]
    .map((entry) => ({ entry, keys: computeRankKeys(entry, service, nowMs) }))
    .sort((left, right) => compareKeys(left.keys, right.keys))
    .map(({ entry }) => entry);
}

function computeRankKeys(entry: QueueEntry, service: TeamService, nowMs: number): RankKeys {
  const raised = Math.floor((nowMs - entry.askedMs) / ADMISSION_LIMITS.agingMs);
  const budgetMs = entry.deadlineMs - entry.askedMs;
  const slackMs = entry.deadlineMs - nowMs;
  const isCritical = slackMs < budgetMs * ADMISSION_LIMITS.criticalSlackShare;
  return [
    Math.max(0, entry.urgency - raised),
    isCritical ? 0 : 1,
    service.computeShare(entry.team, entry.weight, nowMs),
    entry.deadlineMs,
    entry.askedMs,
  ];
}

function compareKeys(left: RankKeys, right: RankKeys): number {
  for (const [index, value] of left.entries()) {
    const other = right[index] as number;
    if (value !== other) {
      return value - other;
    }
  }
  return 0;
}
