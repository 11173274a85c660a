import { EVENT_CATALOGUE } from "@crocussail/protocol";
import type { Clock, Logger, Metrics } from "@crocussail/protocol";
import sonicBoom from "sonic-boom";

/** Options of {@link createBufferedLogger}. */
export interface BufferedLoggerOptions {
  readonly clock: Clock;
  readonly host: string;
  readonly metrics: Metrics;
  /** File descriptor to write to; 1 is standard output. */
  readonly descriptor: number;
}

/** A logger whose buffer can be flushed before the process ends. */
export interface BufferedLogger extends Logger {
  /** Resolves to whether every line has been written; to false after a timeout. */
  flush(): Promise<boolean>;
}

/**
 * Bytes buffered while the reader of the output, for example a pipe, does not read; above this,
 * lines are dropped and counted.
 */
const MAX_BUFFER_BYTES = 1_048_576;
/**
 * Maximum lines of one event in one second; further ones are dropped and counted. An 8-host fleet
 * at twice its peak load writes about 100 lines per second for requests.
 */
const MAX_LINES_PER_EVENT_AND_SECOND = 200;
const WINDOW_MS = 1_000;
/** Flush timeout; fits into the part of the grace period that a draining host reserves for exit. */
const FLUSH_TIMEOUT_MS = 300;

/** Creates a logger of JSON lines that never blocks and limits the lines per event and second. */
export function createBufferedLogger(options: BufferedLoggerOptions): BufferedLogger {
  const { clock, host, metrics } = options;
  const out = new sonicBoom.SonicBoom({
    fd: options.descriptor,
    sync: false,
    maxLength: MAX_BUFFER_BYTES,
  });
  out.on("drop", () => metrics.increment("log.dropped"));
  // The output itself failed, so the error cannot be logged.
  out.on("error", () => metrics.increment("log.dropped"));
  const counts = new Map<string, number>();
  let windowStartMs = 0;
  let isWriting = false;
  out.on("drain", () => {
    isWriting = false;
  });
  return {
    writeEvent: (name, fields = {}) => {
      const nowMs = clock.readMonotonicMs();
      if (nowMs - windowStartMs >= WINDOW_MS) {
        windowStartMs = nowMs;
        counts.clear();
      }
      const count = (counts.get(name) ?? 0) + 1;
      counts.set(name, count);
      const entry = EVENT_CATALOGUE[name];
      if (count > MAX_LINES_PER_EVENT_AND_SECOND) {
        metrics.increment("log.dropped");
        return;
      }
      const time = clock.readWallTime().toISOString();
      const line = { time, event: entry.number, name, level: entry.level, host, ...fields };
      isWriting = true;
      out.write(`${JSON.stringify(line)}\n`);
    },
    // A synchronous flush would overtake the write that is in progress on another thread.
    flush: () =>
      new Promise((resolve) => {
        if (!isWriting) {
          resolve(true);
          return;
        }
        const timer = clock.startTimer(FLUSH_TIMEOUT_MS, () => {
          metrics.increment("log.dropped"); // the reader has stalled or closed its end
          resolve(false);
        });
        out.once("drain", () => {
          timer.cancel();
          resolve(true);
        });
      }),
  };
}
