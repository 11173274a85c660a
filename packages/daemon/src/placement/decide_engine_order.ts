import type { PlacementCopy } from "../adapters/placement_copy_schema.ts";
import type { PlacementOrder } from "../adapters/placement_order_schema.ts";
import type { PlacementStatus } from "../adapters/placement_status_schema.ts";

/** Input of {@link decideEngineOrder}, as the owner of the engine knows it. */
export interface EngineOrderInput {
  readonly wanted: PlacementCopy | undefined;
  readonly observed: PlacementStatus;
  /** Settings revision that `wanted` was derived from. */
  readonly fence: number;
  /** Models that some team may use or that are published. */
  readonly modelsInUse: ReadonlySet<string>;
  /** Models of which another engine assigned to them was just observed to serve a ready copy. */
  readonly servedElsewhere: ReadonlySet<string>;
  /** Whether the ready check of the wanted copy failed recently. */
  readonly hasFailed: boolean;
}

/** Next step of the owner of one engine. */
export type EngineDecision =
  | { readonly type: "done" }
  | { readonly type: "wait"; readonly reason: "loading" | "failed" | "full" }
  /** The order might unload the last ready copy of `model`; another one must be found first. */
  | { readonly type: "findOtherCopy"; readonly model: string }
  | { readonly type: "order"; readonly order: PlacementOrder; readonly needsSlot: boolean };

type ObservedCopy = PlacementStatus["copies"][number];

/**
 * Decides the next order to one engine. A new copy is loaded while the old one serves, and receives
 * requests only after its ready check. The old copy is unloaded last, and never while it is the
 * last ready copy of a model in use.
 */
export function decideEngineOrder(input: EngineOrderInput): EngineDecision {
  const { wanted, observed } = input;
  if (wanted === undefined) {
    return { type: "done" };
  }
  const copy = observed.copies.find((candidate) => isSameCopy(candidate, wanted));
  if (copy?.state === "loading") {
    return { type: "wait", reason: "loading" };
  }
  if (copy?.state === "failed") {
    return buildOrder(input, "unload", copy);
  }
  if (copy === undefined) {
    return decideLoad(input, wanted);
  }
  if (!copy.isServing || copy.role !== wanted.role) {
    return buildOrder(input, "serve", wanted);
  }
  return decideCleanup(input, copy);
}

function decideLoad(input: EngineOrderInput, wanted: PlacementCopy): EngineDecision {
  if (input.hasFailed) {
    return { type: "wait", reason: "failed" };
  }
  const { copies, capacity } = input.observed;
  if (copies.some((copy) => copy.state === "loading")) {
    return { type: "wait", reason: "loading" };
  }
  if (copies.length < capacity) {
    return buildOrder(input, "load", wanted);
  }
  const spare = copies.find((copy) => copy.state === "failed") ??
    copies.find((copy) => !copy.isServing);
  if (spare !== undefined) {
    return buildOrder(input, "unload", spare);
  }
  const [serving] = copies.filter((copy) => isRemovable(input, copy));
  if (serving !== undefined) {
    return buildOrder(input, "unload", serving);
  }
  const [blocking] = copies;
  return blocking === undefined || input.servedElsewhere.has(blocking.model)
    ? { type: "wait", reason: "full" }
    : { type: "findOtherCopy", model: blocking.model };
}

function decideCleanup(input: EngineOrderInput, serving: ObservedCopy): EngineDecision {
  const others = input.observed.copies.filter((copy) => copy !== serving);
  for (const other of others) {
    if (other.model === serving.model || other.state !== "ready" || isRemovable(input, other)) {
      return buildOrder(input, "unload", other);
    }
  }
  const [other] = others;
  return other === undefined ? { type: "done" } : { type: "findOtherCopy", model: other.model };
}

function isRemovable(input: EngineOrderInput, copy: ObservedCopy): boolean {
  return copy.state !== "ready" || !input.modelsInUse.has(copy.model) ||
    input.servedElsewhere.has(copy.model);
}

function buildOrder(
  input: EngineOrderInput,
  kind: PlacementOrder["kind"],
  copy: PlacementCopy,
): EngineDecision {
  const { model, version, adapters, role } = copy;
  const order = { kind, fence: input.fence, model, version, adapters, role };
  return { type: "order", order, needsSlot: kind === "load" };
}

function isSameCopy(left: PlacementCopy, right: PlacementCopy): boolean {
  return left.model === right.model && left.version === right.version &&
    [...left.adapters].sort().join() === [...right.adapters].sort().join();
}
