import type { Metrics } from "@crocussail/protocol";

/** Creates a metrics sink that discards everything; used when no StatsD target is set. */
export function createNullMetrics(): Metrics {
  return { increment: () => {}, gauge: () => {}, distribution: () => {} };
}
