/** A slice as the shutdown sees it. */
export interface LeavingDuty {
  readonly name: string;
  /** Work that has to end before the daemon may; absent when the slice runs none. */
  readonly countRunning?: () => number;
  /** Called at once when the daemon starts to leave. */
  readonly startLeaving?: () => void;
  /** Called in order of registration once nothing runs any more; hands state over. */
  readonly finishLeaving?: () => Promise<void>;
}
