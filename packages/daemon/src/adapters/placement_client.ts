import type { ResultError } from "@crocussail/protocol";
import type { Either } from "purify-ts";
import type { PlacementOrder } from "./placement_order_schema.ts";
import type { PlacementStatus } from "./placement_status_schema.ts";

/** Reads the placement status of engines and sends them placement orders. */
export interface PlacementClient {
  fetchPlacementStatus(url: string): Promise<Either<ResultError, PlacementStatus>>;
  /** Fails with `placementRefused` if the engine accepted an order with a higher fencing token. */
  sendPlacementOrder(url: string, order: PlacementOrder): Promise<Either<ResultError, void>>;
}
