/** Work of a slice that the shutdown waits for or starts. */
export interface ShutdownStep {
  readonly name: string;
  /** Counts the work that must end before the daemon stops; absent if the slice has none. */
  readonly countRunning?: () => number;
  /** Called at once when the daemon starts to leave. */
  readonly startLeaving?: () => void;
  /** Hands state over; called in order of registration once no work is running any more. */
  readonly finishLeaving?: () => Promise<void>;
}
