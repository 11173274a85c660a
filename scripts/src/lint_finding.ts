/** One violation of the project rules. */
export interface LintFinding {
  readonly path: string;
  /** 1-based line number. */
  readonly line: number;
  readonly message: string;
}
