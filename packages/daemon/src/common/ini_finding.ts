/** One problem in an INI text. */
export interface IniFinding {
  /** 1-based line. */
  readonly line: number;
  /** Section and name as written, for example `plan.deadline_ms`; empty for the whole text. */
  readonly name: string;
  /** What is wrong. */
  readonly message: string;
  /** How to correct it; empty when the message already says so. */
  readonly advice: string;
}
