/** Figures of one kind of work in one run; times in milliseconds. */
export interface KindFigures {
  readonly kind: string;
  readonly urgency: number;
  readonly requests: number;
  readonly inTime: number;
  readonly late: number;
  /** Refused without being executed. */
  readonly refused: number;
  /** Ended by a fault after the first token or for lack of a retry, or not ended within the run. */
  readonly lost: number;
  /** Deliveries of tokens that did not continue at the expected index. */
  readonly duplicated: number;
  /** Share of the requests with the first token within 1.2 s. */
  readonly firstTokenShare: number;
  /** Share of the token gaps within 37 ms. */
  readonly gapShare: number;
  /** Time granted but without tokens: before the first token and while preempted. */
  readonly stallMs: number;
  /** Part of the stall after the first token. */
  readonly pausedMs: number;
  /** Time from the arrival to the first token, all requests together. */
  readonly firstWaitMs: number;
  readonly preemptions: number;
  readonly gapP50: number;
  readonly gapP99: number;
  readonly gapP999: number;
  readonly firstTokenP50: number;
  readonly firstTokenP99: number;
  /** Output tokens of the responses completed in time, per second of the run. */
  readonly goodput: number;
}
