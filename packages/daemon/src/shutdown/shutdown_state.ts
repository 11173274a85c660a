/** Phases of a shutdown, in order. */
export type ShutdownPhase =
  /** The daemon serves normally. */
  | "serving"
  /**
   * Entry responses no longer contain this host; it accepts connections until the last response that
   * contains it has expired.
   */
  | "announced"
  /** The daemon accepts no connections and finishes the requests in flight. */
  | "draining"
  /** No request is in flight; slices hand over their state and the process ends. */
  | "ending";

/** State of a shutdown; times are monotonic milliseconds. */
export interface ShutdownState {
  phase: ShutdownPhase;
  startedAtMs: number;
  /** When the listener closes. */
  closeAtMs: number;
  nextReportMs: number;
  /** Number of shutdown signals after the first. */
  repeats: number;
}
