/** What one response of an upstream says of its limit. */
export interface LimitObservation {
  /** Requests a second that it takes from all hosts together; undefined without a limit. */
  readonly perSecond: number | undefined;
  /** Monotonic time at which the request was sent: the response was written later. */
  readonly sentAtMs: number;
  /** Monotonic time at which the head of the response arrived: it was written earlier. */
  readonly receivedAtMs: number;
}
