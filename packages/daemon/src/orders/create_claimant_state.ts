import type { ClaimantState } from "./claimant_state.ts";

/** Options of {@link createClaimantState}. */
export interface ClaimantOptions {
  readonly claim: string;
  readonly digest: string;
  /** Number of replicas that the key names, 1 to 3. */
  readonly replicas: number;
  /** Number of upstreams that may be tried. */
  readonly upstreams: number;
}

/** Creates the initial state of a claimant, which makes one attempt to run an order. */
export function createClaimantState(options: ClaimantOptions): ClaimantState {
  const { claim, digest, replicas, upstreams } = options;
  return {
    phase: "claiming",
    claim,
    digest,
    replies: Array.from({ length: replicas }, () => undefined),
    majority: Math.floor(replicas / 2) + 1,
    acknowledged: Array.from({ length: replicas }, () => false),
    claimRounds: 0,
    sendRounds: 0,
    upstreamsLeft: upstreams,
    isAnswered: false,
  };
}
