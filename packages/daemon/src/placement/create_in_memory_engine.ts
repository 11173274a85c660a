import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import type { PlacementOrder } from "../adapters/placement_order_schema.ts";
import type { PlacementStatus } from "../adapters/placement_status_schema.ts";
import { createCopyStatus } from "./create_copy_status.ts";

type Copy = PlacementStatus["copies"][number];

/** Options of {@link createInMemoryEngine}. */
export interface InMemoryEngineOptions {
  /** Whether orders with an older fencing token are refused. */
  readonly checksFencing: boolean;
  /** Version whose ready check fails. */
  readonly failingVersion?: string;
}

/** In-memory engine for tests; loads end immediately. */
export interface InMemoryEngine {
  fence: number;
  readonly capacity: number;
  copies: Copy[];
  /** Accepted orders, as `kind model@version`. */
  readonly orders: string[];
  applyOrder(order: PlacementOrder): Either<ResultError, void>;
}

/** Creates an in-memory engine that holds `copies`. */
export function createInMemoryEngine(
  copies: Copy[],
  options: InMemoryEngineOptions,
): InMemoryEngine {
  const engine: InMemoryEngine = {
    fence: 0,
    capacity: 2,
    copies,
    orders: [],
    applyOrder: (order) => {
      if (options.checksFencing && order.fence < engine.fence) {
        return Left(createResultError("placementRefused", "old fencing token"));
      }
      engine.fence = Math.max(engine.fence, order.fence);
      engine.orders.push(`${order.kind} ${order.model}@${order.version}`);
      engine.copies = applyToCopies(engine.copies, order, options);
      return Right(undefined);
    },
  };
  return engine;
}

function applyToCopies(
  copies: readonly Copy[],
  { kind, model, version }: PlacementOrder,
  options: InMemoryEngineOptions,
): Copy[] {
  const isTargetCopy = (copy: Copy) => copy.model === model && copy.version === version;
  switch (kind) {
    case "load": {
      const state = version === options.failingVersion ? "failed" : "ready";
      return [...copies, createCopyStatus(model, version, { state, isServing: false })];
    }
    case "serve":
      return copies.map((copy) =>
        copy.model === model ? { ...copy, isServing: isTargetCopy(copy) } : copy
      );
    case "unload":
      return copies.filter((copy) => !isTargetCopy(copy));
    case "keep":
      return [...copies];
  }
}
