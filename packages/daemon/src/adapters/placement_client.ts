import type { ResultError } from "@crocussail/protocol";
import type { Either } from "purify-ts";
import type { PlacementOrder } from "./placement_order_schema.ts";
import type { PlacementStatus } from "./placement_status_schema.ts";

/** Orders to engines. */
export interface PlacementClient {
  observeEngine(url: string): Promise<Either<ResultError, PlacementStatus>>;
  /** Left `placementRefused` when the engine has taken an order with a higher number. */
  orderEngine(url: string, order: PlacementOrder): Promise<Either<ResultError, void>>;
}
