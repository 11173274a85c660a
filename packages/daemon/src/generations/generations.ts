import type { FastifyInstance } from "fastify";

/** Generations slice: relays each token from engines to callers exactly once and in order. */
export interface Generations {
  registerRoutes(server: FastifyInstance): void;
  /** Number of streams that run, wait for an upstream or are held for a resume on this daemon. */
  countRunning(): number;
  /** Stops the timers of the slice. */
  stop(): void;
  dumpState(): unknown;
}
