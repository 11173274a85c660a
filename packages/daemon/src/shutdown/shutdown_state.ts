/** Phases of a shutdown, in order. */
export type ShutdownPhase =
  /** Serves as usual. */
  | "serving"
  /** No longer named, still accepts until the last answer that names this host has expired. */
  | "announced"
  /** Accepts no connection; running requests end. */
  | "draining"
  /** Nothing runs; slices hand over and the process ends. */
  | "ending";

/** State of a shutdown; times are monotonic milliseconds. */
export interface ShutdownState {
  phase: ShutdownPhase;
  startedAtMs: number;
  /** When the listener closes. */
  closeAtMs: number;
  nextReportMs: number;
  /** Signals after the first. */
  repeats: number;
}
