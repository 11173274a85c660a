/** The cold time of one incarnation of an upstream, and the rate that it withstands meanwhile. */
export interface ColdTime {
  readonly startedAt: number;
  /** Requests a second from all hosts together. */
  readonly perSecond: number;
  /** Monotonic time at which it ends. */
  readonly untilMs: number;
}
