/** One violation of the house rules. */
export interface HouseFinding {
  readonly path: string;
  /** 1-based line number. */
  readonly line: number;
  readonly message: string;
}
