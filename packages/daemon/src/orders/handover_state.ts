/** Handover of one duty, on the side that leaves. */
export interface HandoverState {
  /** `staging` copies records; from `committing` on the successor may already answer. */
  readonly phase: "serving" | "staging" | "committing" | "ended";
  /** Hosts not yet tried, best first. */
  readonly candidates: readonly string[];
  readonly successor: string;
  /** Sends of the commit message. */
  readonly sends: number;
  /** True once the successor has confirmed. */
  readonly isTransferred: boolean;
}
