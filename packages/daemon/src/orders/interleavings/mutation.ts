import type { OrderDecisions } from "./order_decisions.ts";

/** A deliberate error in the decisions, which the exploration must detect. */
export interface Mutation {
  readonly name: string;
  apply(decisions: OrderDecisions): OrderDecisions;
}
