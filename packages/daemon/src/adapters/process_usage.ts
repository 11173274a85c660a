/** Resource usage of this process. */
export interface ProcessUsage {
  /** CPU time since the process started, in milliseconds. */
  readonly cpuMs: number;
  readonly memoryBytes: number;
  /** Longest event loop delay since the previous reading, in milliseconds. */
  readonly loopDelayMs: number;
}
