import type { WaitQueue, WaitQueueEntry, WaitQueueOptions } from "@crocussail/daemon/waiting";

/**
 * The order up to b69a732, as the base of comparison: a new request is tried at once, and every
 * host tries its own waiting ones by priority and arrival until one fits.
 */
export function createFormerQueue(
  options: Pick<WaitQueueOptions, "listRoom">,
): WaitQueue {
  let entries: WaitQueueEntry[] = [];
  return {
    isContested: () => true,
    placeNew: (entry) =>
      entry.tryPlace({
        candidates: options.listRoom(entry.service)?.candidates ?? [],
        isLate: false,
      }),
    add: (entry) => {
      entries.push(entry);
      return true;
    },
    expireAndPlaceNext: (nowMs) => {
      if (entries.length === 0) {
        return;
      }
      const isPast = (entry: WaitQueueEntry) => Number(nowMs > entry.targetAtMs);
      const ordered = entries.toSorted((left, right) =>
        isPast(left) - isPast(right) || left.priority - right.priority ||
        left.arrivedAtMs - right.arrivedAtMs
      );
      const candidates = options.listRoom(ordered[0]?.service ?? "")?.candidates ?? [];
      const placed = ordered.find((entry) => entry.tryPlace({ candidates, isLate: false }));
      const expired = entries.filter((entry) => entry !== placed && nowMs >= entry.expiresAtMs);
      entries = entries.filter((entry) => entry !== placed && !expired.includes(entry));
      expired.forEach((entry) => entry.expire());
    },
    recordStart: () => {},
    listReported: () => [],
    count: () => entries.length,
  };
}
