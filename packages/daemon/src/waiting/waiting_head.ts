/** The waiting requests of one priority at another host, as its last report has them. */
export interface WaitingHead {
  readonly host: string;
  readonly service: string;
  readonly priority: number;
  readonly count: number;
  /** KV cache that the first of them needs, in tokens; 0 if it reserves nothing any more. */
  readonly memoryTokens: number;
  /** Monotonic time at which the first of them arrived. */
  readonly arrivedAtMs: number;
  /** Monotonic time at which the report was sent. */
  readonly sentAtMs: number;
}
