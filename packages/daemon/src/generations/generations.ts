import type { FastifyInstance } from "fastify";

/** Generations module: relays each token from engines to callers exactly once and in order. */
export interface Generations {
  registerRoutes(server: FastifyInstance): void;
  /** Number of streams on this daemon that run, wait for an upstream or are held for a resume. */
  countRunning(): number;
  /** Stops the timers of held and moved streams. */
  stop(): void;
  dumpState(): unknown;
}
