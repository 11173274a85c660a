import { decideAdoption } from "../decide_adoption.ts";
import { decideClaimant } from "../decide_claimant.ts";
import { decideHandover } from "../decide_handover.ts";
import { decideReplica } from "../decide_replica.ts";

/** Decision functions under test; mutations replace some of them. */
export interface OrderDecisions {
  readonly decideReplica: typeof decideReplica;
  readonly decideClaimant: typeof decideClaimant;
  readonly decideHandover: typeof decideHandover;
  readonly decideAdoption: typeof decideAdoption;
}

/** The functions that daemons run. */
export const ORDER_DECISIONS: OrderDecisions = {
  decideReplica,
  decideClaimant,
  decideHandover,
  decideAdoption,
};
