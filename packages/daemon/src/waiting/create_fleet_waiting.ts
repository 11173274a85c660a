import { WAITING_LIMITS } from "./constants.ts";
import type { WaitingHead } from "./waiting_head.ts";

/** What a report says of the waiting requests of its host. */
export interface WaitingReport {
  readonly host: string;
  /** Service, priority, number, tokens that the first needs, and its age in milliseconds. */
  readonly waiting: readonly (readonly [string, number, number, number, number])[];
}

/** Waiting requests of the other hosts, from their last reports. */
export interface FleetWaiting {
  acceptReport(report: WaitingReport, sentAtMs: number): void;
  /**
   * Lists the waiting requests of a service whose reports were sent at most `maxAgeMs` ago, in
   * order.
   */
  listHeads(service: string, nowMs: number, maxAgeMs: number): WaitingHead[];
}

/**
 * Creates the table. Each host has the entries of its last report, so a lost report, or the death of
 * a host, has an effect for no longer than the age up to which reports count.
 */
export function createFleetWaiting(): FleetWaiting {
  const heads = new Map<string, readonly WaitingHead[]>();
  return {
    acceptReport: ({ host, waiting }, sentAtMs) => {
      if (waiting.length === 0) {
        heads.delete(host);
        return;
      }
      heads.set(
        host,
        waiting.map(([service, priority, count, memoryTokens, ageMs]) => ({
          ...{ host, service, priority, count, memoryTokens, sentAtMs },
          arrivedAtMs: sentAtMs - ageMs,
        })),
      );
    },
    listHeads: (service, nowMs, maxAgeMs) => {
      for (const [host, entries] of heads) {
        if ((entries[0]?.sentAtMs ?? 0) < nowMs - WAITING_LIMITS.countedReportMs) {
          heads.delete(host);
        }
      }
      return [...heads.values()].flat()
        .filter((head) => head.service === service && nowMs - head.sentAtMs <= maxAgeMs)
        .sort((left, right) =>
          left.priority - right.priority || left.arrivedAtMs - right.arrivedAtMs
        );
    },
  };
}
