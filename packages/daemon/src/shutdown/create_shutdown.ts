import type { Clock, Logger } from "@crocussail/protocol";
import type { FastifyInstance } from "fastify";
import { SHUTDOWN_LIMITS } from "./constants.ts";
import { decideShutdown } from "./decide_shutdown.ts";
import type { ShutdownEffect, ShutdownEvent } from "./decide_shutdown.ts";
import type { ShutdownStep } from "./shutdown_step.ts";
import type { ShutdownState } from "./shutdown_state.ts";

/** Options of {@link createShutdown}. */
export interface ShutdownOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** The server for callers; the shutdown waits until its open requests have ended. */
  readonly server: FastifyInstance;
  readonly readEntryTtlMs: () => number;
  /** Counts the live hosts, this one included. */
  readonly countHosts: () => number;
  /** Stops the daemon; called when no work is in flight any more. */
  readonly stopDaemon: () => Promise<void>;
}

/** Shutdown slice: stops the daemon without interrupting a request. */
export interface Shutdown {
  /** Registers a slice that has work to finish or state to hand over. */
  registerShutdownStep(duty: ShutdownStep): void;
  /** Starts a graceful shutdown; resolves when the daemon has stopped. A repeated call is logged. */
  startShutdown(): Promise<void>;
  isLeaving(): boolean;
  dumpState(): unknown;
}

/** Creates the shutdown slice; must be called before routes are added to the server. */
export function createShutdown(options: ShutdownOptions): Shutdown {
  const { clock, logger, server } = options;
  const duties: ShutdownStep[] = [];
  const state: ShutdownState = {
    phase: "serving",
    startedAtMs: 0,
    closeAtMs: 0,
    nextReportMs: 0,
    repeats: 0,
  };
  let openRequestCount = 0;
  let ended: Promise<void> | undefined;
  let resolveEnded = () => {};

  server.addHook("onRequest", (_request, reply, done) => {
    openRequestCount += 1;
    reply.raw.once("close", () => {
      openRequestCount -= 1;
    });
    if (state.phase !== "serving") {
      reply.raw.shouldKeepAlive = false;
    }
    done();
  });

  const countByDuty = () => {
    const entries = duties.flatMap(({ name, countRunning }) =>
      countRunning === undefined ? [] : [[name, countRunning()] as const]
    );
    return Object.fromEntries([["requests", openRequestCount] as const, ...entries]);
  };
  const countRunning = () => Object.values(countByDuty()).reduce((sum, count) => sum + count, 0);
  const buildReport = () => ({
    phase: state.phase,
    elapsedMs: Math.round(clock.readMonotonicMs() - state.startedAtMs),
    ...countByDuty(),
  });

  const handOver = async (duty: ShutdownStep) => {
    if (duty.finishLeaving === undefined) {
      return;
    }
    await new Promise<void>((resolve) => {
      const fail = (reason: string) => {
        logger.writeEvent("handOverFailed", { duty: duty.name, reason });
        resolve();
      };
      const timer = clock.startTimer(
        SHUTDOWN_LIMITS.handOverTimeoutMs,
        () => fail(`not completed within ${SHUTDOWN_LIMITS.handOverTimeoutMs} ms`),
      );
      duty.finishLeaving?.().then(resolve, (error) => fail(String(error))).finally(timer.cancel);
    });
  };

  const finish = async () => {
    for (const duty of duties) {
      await handOver(duty);
    }
    await options.stopDaemon();
    resolveEnded();
  };

  const runEffect = (effect: ShutdownEffect) => {
    switch (effect) {
      case "announce":
        logger.writeEvent("shutdownStarted", buildReport());
        duties.forEach((duty) => duty.startLeaving?.());
        break;
      case "reportRepeat":
        logger.writeEvent("shutdownRepeated", buildReport());
        break;
      case "closeListener":
        logger.writeEvent("listenerClosed", buildReport());
        server.server.close();
        break;
      case "reportRunning":
        logger.writeEvent("shutdownWaiting", buildReport());
        break;
      case "finish":
        finish();
        break;
    }
  };
  const handleEvent = (event: ShutdownEvent) =>
    decideShutdown(state, event, clock.readMonotonicMs()).forEach(runEffect);

  const tick = () => {
    if (state.phase === "draining") {
      server.server.closeIdleConnections();
    }
    handleEvent({ type: "tick", running: countRunning() });
    if (state.phase !== "ending") {
      clock.startTimer(SHUTDOWN_LIMITS.checkMs, tick);
    }
  };

  return {
    registerShutdownStep: (duty) => {
      duties.push(duty);
    },
    startShutdown: () => {
      handleEvent({
        type: "signal",
        entryTtlMs: options.readEntryTtlMs(),
        hosts: options.countHosts(),
      });
      if (ended === undefined) {
        ended = new Promise((resolve) => {
          resolveEnded = resolve;
        });
        tick();
      }
      return ended;
    },
    isLeaving: () => state.phase !== "serving",
    dumpState: () =>
      state.phase === "serving"
        ? { phase: state.phase, ...countByDuty() }
        : { ...buildReport(), closesInMs: Math.max(0, state.closeAtMs - clock.readMonotonicMs()) },
  };
}
