import { SHUTDOWN_LIMITS } from "./constants.ts";
import type { ShutdownState } from "./shutdown_state.ts";

/** What happens to a shutdown. */
export type ShutdownEvent =
  | {
    readonly type: "signal";
    /** Time for which callers keep an answer of `GET /v1/entry`. */
    readonly entryTtlMs: number;
    /** Hosts of the fleet, this one included. */
    readonly hosts: number;
  }
  | { readonly type: "tick"; readonly running: number };

/** What the edge has to do. */
export type ShutdownEffect =
  | "announce"
  | "reportRepeat"
  | "closeListener"
  | "reportRunning"
  | "finish";

/**
 * Advances a shutdown. The listener stays open until every answer that may name this host has
 * expired: those given before peers had heard of the leave live for one entry TTL from then on. No
 * event cuts a running request.
 */
export function decideShutdown(
  state: ShutdownState,
  event: ShutdownEvent,
  nowMs: number,
): ShutdownEffect[] {
  if (event.type === "tick") {
    return advancePhase(state, event.running, nowMs);
  }
  if (state.phase !== "serving") {
    state.repeats += 1;
    return ["reportRepeat"];
  }
  const rounds = Math.ceil(Math.log2(event.hosts + 1));
  state.phase = "announced";
  state.startedAtMs = nowMs;
  state.closeAtMs = nowMs + event.entryTtlMs + rounds * SHUTDOWN_LIMITS.spreadRoundMs;
  state.nextReportMs = state.closeAtMs + SHUTDOWN_LIMITS.reportIntervalMs;
  return ["announce"];
}

function advancePhase(state: ShutdownState, running: number, nowMs: number): ShutdownEffect[] {
  if (state.phase === "announced" && nowMs >= state.closeAtMs) {
    state.phase = "draining";
    return ["closeListener"];
  }
  if (state.phase !== "draining") {
    return [];
  }
  if (running === 0) {
    state.phase = "ending";
    return ["finish"];
  }
  if (nowMs < state.nextReportMs) {
    return [];
  }
  state.nextReportMs = nowMs + SHUTDOWN_LIMITS.reportIntervalMs;
  return ["reportRunning"];
}
