/** State of the handover of one duty on the draining replica. */
export interface HandoverState {
  /** `staging` copies records; from `committing` on, the successor may already serve the duty. */
  readonly phase: "serving" | "staging" | "committing" | "ended";
  /** Hosts not tried yet, in order of preference. */
  readonly candidates: readonly string[];
  readonly successor: string;
  /** Number of times the commit message was sent. */
  readonly commitSends: number;
  /** True once the successor has confirmed the adoption. */
  readonly isTransferred: boolean;
}
