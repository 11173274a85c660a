/** One fault of an INI text. */
export interface IniFinding {
  /** 1-based line. */
  readonly line: number;
  /** Section and name as written, for example `plan.deadline_ms`; empty for the whole text. */
  readonly name: string;
  /** What is wrong. */
  readonly message: string;
  /** What to do about it; empty when the message says so itself. */
  readonly advice: string;
}
