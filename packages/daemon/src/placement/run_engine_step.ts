import type { Clock, Logger } from "@crocussail/protocol";
import type { PlacementClient } from "../adapters/placement_client.ts";
import type { PlacementCopy } from "../adapters/placement_copy_schema.ts";
import type { PlacementOrder } from "../adapters/placement_order_schema.ts";
import type { PlacementStatus } from "../adapters/placement_status_schema.ts";
import { PLACEMENT_LIMITS } from "./constants.ts";
import type { LoadSlot } from "./create_load_slots.ts";
import { decideEngineOrder } from "./decide_engine_order.ts";
import type { EngineDecision, EngineOrderInput } from "./decide_engine_order.ts";

/** Input of a step: one engine as its owner sees it. */
export interface EngineStep {
  readonly engine: string;
  readonly url: string;
  readonly checksFencing: boolean;
  readonly wanted: PlacementCopy | undefined;
  readonly fence: number;
  readonly modelsInUse: ReadonlySet<string>;
  readonly hasFailed: boolean;
}

/** Dependencies of a step. */
export interface EngineStepDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly client: PlacementClient;
  /** Lists the URLs of other engines that should serve a model. */
  readonly listHolders: (model: string, engine: string) => readonly string[];
  /** Queries peers whether this host owns the engine and has the newest settings. */
  readonly confirmOrder: (engine: string, fence: number) => Promise<boolean>;
  readonly acquireSlot: (engine: string) => Promise<LoadSlot | undefined>;
}

/** Result of one step. */
export interface EngineStepResult {
  readonly decision: EngineDecision | { readonly type: "absent" };
  readonly observed?: PlacementStatus;
  /** Set if a load was ordered. */
  readonly slot?: LoadSlot;
}

/** Maximum engines queried for a ready copy before an unload is deferred. */
const MAX_HOLDERS_QUERIED = 3;

/** Observes one engine, decides on its next order, and sends at most one. */
export async function runEngineStep(
  step: EngineStep,
  dependencies: EngineStepDependencies,
): Promise<EngineStepResult> {
  const observation = await dependencies.client.fetchPlacementStatus(step.url);
  const observed = observation.toMaybe().extract();
  if (observed === undefined) {
    return { decision: { type: "absent" } };
  }
  const decision = await decideWithHolders(step, dependencies, observed);
  if (decision.type !== "order") {
    return { decision, observed };
  }
  const slot = await sendOrder(step, dependencies, decision);
  return { decision, observed, ...(slot === undefined ? {} : { slot }) };
}

async function decideWithHolders(
  step: EngineStep,
  dependencies: EngineStepDependencies,
  observed: PlacementStatus,
): Promise<EngineDecision> {
  const { wanted, fence, modelsInUse, hasFailed } = step;
  const input: EngineOrderInput = {
    wanted,
    observed,
    fence,
    modelsInUse,
    hasFailed,
    servedElsewhere: new Set(),
  };
  const decision = decideEngineOrder(input);
  if (decision.type !== "findOtherCopy") {
    return decision;
  }
  const isServedElsewhere = await reserveCopyElsewhere(step, dependencies, decision.model);
  return isServedElsewhere
    ? decideEngineOrder({ ...input, servedElsewhere: new Set([decision.model]) })
    : { type: "wait", reason: "full" };
}

/**
 * Finds another engine that serves a ready copy and raises its fencing token, so that an owner
 * with older settings can no longer unload that copy.
 */
async function reserveCopyElsewhere(
  step: EngineStep,
  dependencies: EngineStepDependencies,
  model: string,
): Promise<boolean> {
  const urls = dependencies.listHolders(model, step.engine).slice(0, MAX_HOLDERS_QUERIED);
  for (const url of urls) {
    const status = (await dependencies.client.fetchPlacementStatus(url)).toMaybe().extract();
    const copy = status?.copies.find((candidate) =>
      candidate.model === model && candidate.state === "ready" && candidate.isServing
    );
    if (copy === undefined) {
      continue;
    }
    const { version, adapters, role } = copy;
    const order = { kind: "keep" as const, fence: step.fence, model, version, adapters, role };
    if ((await dependencies.client.sendPlacementOrder(url, order)).isRight()) {
      return true;
    }
  }
  return false;
}

async function sendOrder(
  step: EngineStep,
  dependencies: EngineStepDependencies,
  decision: { readonly order: PlacementOrder; readonly needsSlot: boolean },
): Promise<LoadSlot | undefined> {
  const { clock, logger, client } = dependencies;
  const confirmedAtMs = clock.readMonotonicMs();
  if (!step.checksFencing && !(await dependencies.confirmOrder(step.engine, step.fence))) {
    return undefined;
  }
  const slot = decision.needsSlot ? await dependencies.acquireSlot(step.engine) : undefined;
  const nowMs = clock.readMonotonicMs();
  const isLate = nowMs - confirmedAtMs > PLACEMENT_LIMITS.confirmMs ||
    nowMs >= (slot?.startDeadlineAtMs ?? Number.POSITIVE_INFINITY);
  if (isLate || (decision.needsSlot && slot === undefined)) {
    slot?.release();
    return undefined;
  }
  const { kind, model, version, fence } = decision.order;
  const answer = await client.sendPlacementOrder(step.url, decision.order);
  const fields = { engine: step.engine, kind, model, version, fence };
  return answer.caseOf<LoadSlot | undefined>({
    Left: (error) => {
      logger.writeEvent("placementOrderFailed", { ...fields, reason: error.detail });
      // An order without a response may be running; its slot expires on its own.
      if (error.code === "placementRefused") {
        slot?.release();
        return undefined;
      }
      return slot;
    },
    Right: () => {
      logger.writeEvent("placementOrdered", fields);
      return slot;
    },
  });
}
