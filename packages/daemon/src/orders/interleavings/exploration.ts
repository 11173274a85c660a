/** Result of the exploration of one scenario. */
export interface Exploration {
  /** Number of complete schedules; those that reach an equal state are explored once from there. */
  readonly schedules: number;
  /** Number of model states visited; distinct ones in an exhaustive exploration. */
  readonly worlds: number;
  /** First violated guarantee, if any. */
  readonly violation?: string;
}
