import type { Clock, Logger, Metrics, Timer } from "@crocussail/protocol";
import { CONNECTION_LIMITS } from "./constants.ts";
import type { ListenerName } from "./listener_name.ts";

/** Which limit closed a connection. */
export type CloseReason = "connections" | "requests" | "heads" | "unsent";

/** Counts closed connections, and logs them. */
export interface CloseReports {
  recordClosed(listener: ListenerName, reason: CloseReason): void;
}

/** Creates the reports: a log line an interval for each listener and reason at most. */
export function createCloseReports(
  { clock, logger, metrics }: {
    readonly clock: Pick<Clock, "startTimer">;
    readonly logger: Logger;
    readonly metrics: Metrics;
  },
): CloseReports {
  const counts = new Map<string, { listener: ListenerName; reason: CloseReason; count: number }>();
  let timer: Timer | undefined;
  const flush = () => {
    timer = undefined;
    counts.forEach((fields) => logger.writeEvent("connectionsClosed", fields));
    counts.clear();
  };
  return {
    recordClosed: (listener, reason) => {
      metrics.increment("connections.closed", 1, { listener, reason });
      const key = `${listener} ${reason}`;
      const entry = counts.get(key) ?? { listener, reason, count: 0 };
      entry.count++;
      counts.set(key, entry);
      timer ??= clock.startTimer(CONNECTION_LIMITS.reportIntervalMs, flush);
    },
  };
}
