import { SHUTDOWN_LIMITS } from "./constants.ts";
import type { ShutdownState } from "./shutdown_state.ts";

/** Input of {@link decideShutdown}. */
export type ShutdownEvent =
  | {
    readonly type: "signal";
    /** Time for which callers cache a response of `GET /v1/entry`. */
    readonly entryTtlMs: number;
    /** Number of live hosts of the fleet, this one included. */
    readonly hosts: number;
  }
  | { readonly type: "tick"; readonly running: number };

/** An action that the decision requests from the slice's I/O code. */
export type ShutdownEffect =
  | "announce"
  | "reportRepeat"
  | "closeListener"
  | "reportRunning"
  | "finish";

/**
 * Advances a shutdown. The listener stays open until all entry responses that may contain this host
 * have expired. A peer sends them until it learns that this host is leaving, which takes up to
 * `rounds` of forwarding, and they expire one entry TTL later. No event interrupts a request in
 * flight.
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
