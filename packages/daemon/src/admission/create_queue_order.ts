import { ADMISSION_LIMITS } from "./constants.ts";
import type { ServedTokenCounts } from "./create_served_token_counts.ts";
import type { QueueEntry } from "./queue_entry.ts";

/** Order of a queue at a fixed time. */
export interface QueueOrder {
  /** Negative when `left` goes first. */
  compareEntries(left: QueueEntry, right: QueueEntry): number;
  /** Returns the entry that goes first, or undefined when there is none. */
  findFirst(entries: Iterable<QueueEntry>): QueueEntry | undefined;
  /** Returns the longest waiting entry, if it has waited for at least `agingMs`. */
  findLongestWaiting(entries: Iterable<QueueEntry>): QueueEntry | undefined;
  /** Returns the number of entries that go before one. */
  countBefore(entries: Iterable<QueueEntry>, entry: QueueEntry): number;
}

/**
 * Creates the order of a queue: urgency class, then entries with little slack, then the team least
 * served for its weight, then the deadline, then the arrival.
 */
export function createQueueOrder(service: ServedTokenCounts, nowMs: number): QueueOrder {
  const shares = new Map<string, number>();

  const getShare = (entry: QueueEntry): number => {
    const known = shares.get(entry.team);
    if (known !== undefined) {
      return known;
    }
    const share = service.computeShare(entry.team, entry.weight, nowMs);
    shares.set(entry.team, share);
    return share;
  };
  const computeSlackRank = (entry: QueueEntry): number => {
    const budgetMs = entry.deadlineMs - entry.arrivedMs;
    const slackMs = entry.deadlineMs - nowMs;
    return slackMs < budgetMs * ADMISSION_LIMITS.criticalSlackShare ? 0 : 1;
  };
  const compareEntries = (left: QueueEntry, right: QueueEntry): number =>
    left.urgency - right.urgency ||
    computeSlackRank(left) - computeSlackRank(right) ||
    getShare(left) - getShare(right) ||
    left.deadlineMs - right.deadlineMs ||
    left.arrivedMs - right.arrivedMs;

  return {
    compareEntries,
    findFirst: (entries) => {
      let first: QueueEntry | undefined;
      for (const entry of entries) {
        first = first === undefined || compareEntries(entry, first) < 0 ? entry : first;
      }
      return first;
    },
    findLongestWaiting: (entries) => {
      let oldest: QueueEntry | undefined;
      for (const entry of entries) {
        oldest = oldest === undefined || entry.arrivedMs < oldest.arrivedMs ? entry : oldest;
      }
      const hasWaitedLongEnough = oldest !== undefined &&
        nowMs - oldest.arrivedMs >= ADMISSION_LIMITS.agingMs;
      return hasWaitedLongEnough ? oldest : undefined;
    },
    countBefore: (entries, entry) => {
      let count = 0;
      for (const each of entries) {
        count += each !== entry && compareEntries(each, entry) < 0 ? 1 : 0;
      }
      return count;
    },
  };
}
