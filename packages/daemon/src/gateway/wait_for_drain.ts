import type { Clock } from "@crocussail/protocol";
import type { Server } from "node:http";
import type { Socket } from "node:net";
import { GATEWAY_LIMITS } from "./constants.ts";

/** Options of {@link waitForDrain}. */
export interface DrainOptions {
  readonly clock: Clock;
  /** Time after which requests are aborted, in milliseconds. */
  readonly graceMs: number;
  /** Counts the requests whose response has not been sent completely. */
  readonly countOpen: () => number;
  /** Ends the open requests; those without a response get one. */
  readonly endOpen: () => void;
  /** The listener for callers, and its open connections. */
  readonly server: Server;
  readonly connections: ReadonlySet<Socket>;
}

/**
 * Resolves when a draining host may end: its minimum drain time is over, no request is open, and no
 * connection is left on which one is arriving. Connections without a request are closed then.
 */
export async function waitForDrain(options: DrainOptions): Promise<void> {
  const { clock, server } = options;
  const startMs = clock.readMonotonicMs();
  const waitUntil = async (isDone: () => boolean) => {
    while (!isDone() && clock.readMonotonicMs() - startMs < options.graceMs) {
      await new Promise<void>((resolve) => clock.startTimer(GATEWAY_LIMITS.tickMs, resolve));
    }
  };
  await waitUntil(() =>
    clock.readMonotonicMs() - startMs >= GATEWAY_LIMITS.minDrainMs && options.countOpen() === 0
  );
  if (options.countOpen() > 0) {
    options.endOpen();
    await new Promise<void>((resolve) => clock.startTimer(GATEWAY_LIMITS.lastAnswersMs, resolve));
  }
  server.close();
  await waitUntil(() => {
    server.closeIdleConnections();
    // A connection without a first request does not count as idle.
    options.connections.forEach((socket) => socket.bytesRead === 0 && socket.destroy());
    return options.connections.size === 0;
  });
}
