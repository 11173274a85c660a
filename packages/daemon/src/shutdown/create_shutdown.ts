import type { Clock, Logger } from "@crocussail/protocol";

/** Options of {@link createShutdown}. */
export interface ShutdownOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Number of requests still running on this daemon. */
  readonly countRunning: () => number;
  /** Ends the daemon once nothing runs any more. */
  readonly stopDaemon: () => Promise<void>;
}

/** Shutdown slice: ends the daemon without cutting a request. */
export interface Shutdown {
  /** Starts a graceful shutdown; resolves when the daemon has ended. */
  startShutdown(): Promise<void>;
  isLeaving(): boolean;
}

const CHECK_MS = 20;

/** Creates the shutdown slice. */
export function createShutdown(options: ShutdownOptions): Shutdown {
  let ended: Promise<void> | undefined;
  const waitForRequests = () =>
    new Promise<void>((resolve) => {
      const check = () => {
        if (options.countRunning() === 0) {
          resolve();
          return;
        }
        options.clock.startTimer(CHECK_MS, check);
      };
      check();
    });
  return {
    startShutdown: () => {
      if (ended === undefined) {
        options.logger.writeEvent("shutdownStarted", { running: options.countRunning() });
        ended = waitForRequests().then(options.stopDaemon);
      }
      return ended;
    },
    isLeaving: () => ended !== undefined,
  };
}
