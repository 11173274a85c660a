/** One row of the event catalogue. */
export interface EventEntry {
  /** Stable number shown in every log line. */
  readonly number: number;
  readonly level: "debug" | "info" | "warn" | "error";
  /** What happened, sentence case, no trailing period. */
  readonly title: string;
  /** What an operator should do; "none" if there is nothing to do. */
  readonly action: string;
}
