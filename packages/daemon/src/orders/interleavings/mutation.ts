import type { OrderDecisions } from "./order_decisions.ts";

/** A fault injected into the decisions, which the check must detect. */
export interface Mutation {
  readonly name: string;
  apply(decisions: OrderDecisions): OrderDecisions;
}
