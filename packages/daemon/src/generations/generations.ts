import type { FastifyInstance } from "fastify";

/** Generations slice: exact streams from engines to callers. */
export interface Generations {
  registerRoutes(server: FastifyInstance): void;
  /** Number of streams that run, wait for a place or are held for a resume on this daemon. */
  countRunning(): number;
  /** Ends the timers of the slice. */
  stop(): void;
  dumpState(): unknown;
}
