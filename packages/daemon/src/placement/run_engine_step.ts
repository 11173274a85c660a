import type { Clock, Logger } from "@crocussail/protocol";
import type { PlacementClient } from "../adapters/placement_client.ts";
import type { PlacementCopy } from "../adapters/placement_copy_schema.ts";
import type { PlacementOrder } from "../adapters/placement_order_schema.ts";
import type { PlacementStatus } from "../adapters/placement_status_schema.ts";
import { PLACEMENT_LIMITS } from "./constants.ts";
import type { LoadSlot } from "./create_load_slots.ts";
import { decideEngineOrder } from "./decide_engine_order.ts";
import type { EngineDecision, EngineOrderInput } from "./decide_engine_order.ts";

/** One engine as its owner sees it at one moment. */
export interface EngineStep {
  readonly engine: string;
  readonly url: string;
  readonly checksFencing: boolean;
  readonly wanted: PlacementCopy | undefined;
  readonly fence: number;
  readonly inUse: ReadonlySet<string>;
  readonly hasFailed: boolean;
}

/** What a step may ask of its surroundings. */
export interface EngineStepTools {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly client: PlacementClient;
  /** URLs of other engines that should serve a model. */
  readonly listKeepers: (model: string, engine: string) => readonly string[];
  /** Asks peers whether this host owns the engine and holds the newest settings. */
  readonly confirmOrder: (engine: string, fence: number) => Promise<boolean>;
  readonly acquireSlot: (engine: string) => Promise<LoadSlot | undefined>;
}

/** Result of one step. */
export interface EngineStepResult {
  readonly decision: EngineDecision | { readonly type: "absent" };
  readonly observed?: PlacementStatus;
  /** Set when a load has been ordered. */
  readonly slot?: LoadSlot;
}

/** Engines asked about a ready copy before an unload is given up for now. */
const MAX_KEEPERS_ASKED = 3;

/** Observes one engine, decides and sends at most one order. */
export async function runEngineStep(
  step: EngineStep,
  tools: EngineStepTools,
): Promise<EngineStepResult> {
  const observation = await tools.client.observeEngine(step.url);
  const observed = observation.toMaybe().extract();
  if (observed === undefined) {
    return { decision: { type: "absent" } };
  }
  const decision = await decideWithKeepers(step, tools, observed);
  if (decision.type !== "order") {
    return { decision, observed };
  }
  const slot = await sendOrder(step, tools, decision);
  return { decision, observed, ...(slot === undefined ? {} : { slot }) };
}

async function decideWithKeepers(
  step: EngineStep,
  tools: EngineStepTools,
  observed: PlacementStatus,
): Promise<EngineDecision> {
  const { wanted, fence, inUse, hasFailed } = step;
  const input: EngineOrderInput = { wanted, observed, fence, inUse, hasFailed, kept: new Set() };
  const decision = decideEngineOrder(input);
  if (decision.type !== "findKeeper") {
    return decision;
  }
  const isKept = await reserveCopyElsewhere(step, tools, decision.model);
  return isKept
    ? decideEngineOrder({ ...input, kept: new Set([decision.model]) })
    : { type: "wait", reason: "full" };
}

/**
 * Finds a wanted engine that serves a ready copy and raises its fencing number, so that an owner
 * with older settings can no longer unload that copy.
 */
async function reserveCopyElsewhere(
  step: EngineStep,
  tools: EngineStepTools,
  model: string,
): Promise<boolean> {
  const urls = tools.listKeepers(model, step.engine).slice(0, MAX_KEEPERS_ASKED);
  for (const url of urls) {
    const status = (await tools.client.observeEngine(url)).toMaybe().extract();
    const copy = status?.copies.find((candidate) =>
      candidate.model === model && candidate.state === "ready" && candidate.isServing
    );
    if (copy === undefined) {
      continue;
    }
    const { version, adapters, role } = copy;
    const order = { kind: "keep" as const, fence: step.fence, model, version, adapters, role };
    if ((await tools.client.orderEngine(url, order)).isRight()) {
      return true;
    }
  }
  return false;
}

async function sendOrder(
  step: EngineStep,
  tools: EngineStepTools,
  decision: { readonly order: PlacementOrder; readonly needsSlot: boolean },
): Promise<LoadSlot | undefined> {
  const { clock, logger, client } = tools;
  const confirmedAtMs = clock.readMonotonicMs();
  if (!step.checksFencing && !(await tools.confirmOrder(step.engine, step.fence))) {
    return undefined;
  }
  const slot = decision.needsSlot ? await tools.acquireSlot(step.engine) : undefined;
  const nowMs = clock.readMonotonicMs();
  const isLate = nowMs - confirmedAtMs > PLACEMENT_LIMITS.confirmMs ||
    nowMs >= (slot?.startByMs ?? Number.POSITIVE_INFINITY);
  if (isLate || (decision.needsSlot && slot === undefined)) {
    slot?.release();
    return undefined;
  }
  const { kind, model, version, fence } = decision.order;
  const answer = await client.orderEngine(step.url, decision.order);
  const fields = { engine: step.engine, kind, model, version, fence };
  return answer.caseOf<LoadSlot | undefined>({
    Left: (error) => {
      logger.writeEvent("placementOrderFailed", { ...fields, reason: error.detail });
      // An order without an answer may be running: its slot expires by itself.
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
