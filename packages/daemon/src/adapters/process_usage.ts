/** Resources used by this process. */
export interface ProcessUsage {
  /** Processor time since the start, in milliseconds. */
  readonly cpuMs: number;
  readonly memoryBytes: number;
  /** Longest delay of the event loop since the last reading, in milliseconds. */
  readonly loopDelayMs: number;
}
