import type { OrderDecisions } from "./order_decisions.ts";

/** A seeded fault of the decisions that the check must find. */
export interface Mutation {
  readonly name: string;
  apply(decisions: OrderDecisions): OrderDecisions;
}
