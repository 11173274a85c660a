/** What the order of waiting requests depends on. Times are of the monotonic clock. */
export interface WaitingRequest {
  readonly service: string;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** Account that the request belongs to. */
  readonly account: string;
  /** Kind of the request: its route. */
  readonly kind: string;
  readonly arrivedAtMs: number;
  /** Time by which its first event meets its target. */
  readonly targetAtMs: number;
  /** Time after which it no longer waits. */
  readonly expiresAtMs: number;
  readonly promptTokens: number;
  /** Planned size of its KV cache, in tokens. */
  readonly memoryTokens: number;
}
