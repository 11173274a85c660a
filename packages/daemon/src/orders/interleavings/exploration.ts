/** What an exploration of one scenario saw. */
export interface Exploration {
  /** Complete schedules walked; those that meet in one world share their rest. */
  readonly schedules: number;
  /** Distinct worlds visited. */
  readonly worlds: number;
  /** First broken promise, if any. */
  readonly violation?: string;
}
