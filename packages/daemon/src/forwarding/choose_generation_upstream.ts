import {
  BALANCING_LIMITS,
  chooseEngine,
  computeLoads,
  computeLoadSpread,
  estimateConcurrentChoices,
  estimateMemoryTokens,
  estimateRemainingTokens,
  listCandidates,
} from "../balancing/mod.ts";
import type { InFlightRequest, UpstreamCandidate } from "../balancing/mod.ts";
import { listUsableUpstreams } from "../upstreams/mod.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";

/**
 * What the upstream is chosen for: `start` starts a generation, `copy` keeps a backup copy of its
 * KV cache, `move` takes over a running generation.
 */
export type UpstreamPurpose = "start" | "copy" | "move";

/** Options of {@link chooseGenerationUpstream}. */
export interface GenerationChoice {
  readonly request: ForwardedRequest;
  readonly purpose: UpstreamPurpose;
  readonly inFlight: Pick<
    InFlightRequest,
    "promptTokens" | "producedTokens" | "expectedTokens" | "maxOutputTokens"
  >;
  /**
   * Which upstreams are considered: those that name a limit need a permit for each request;
   * `preferUnlimited` considers them when no other has room.
   */
  readonly among: "unlimited" | "limited" | "preferUnlimited";
  /** Upstreams that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Data centre of the engine that the KV cache is copied from. */
  readonly nearDataCentre?: string;
}

const MEMORY_SHARES: Readonly<Record<UpstreamPurpose, number>> = {
  start: BALANCING_LIMITS.plannedMemoryShare,
  copy: BALANCING_LIMITS.copyMemoryShare,
  move: 1, // a migration keeps the tokens produced so far; a full engine preempts its newest work
};

/**
 * Chooses an upstream for a generation or a copy of its KV cache; returns it with its load, or
 * undefined if none has room.
 */
export function chooseGenerationUpstream(
  context: Pick<
    ForwardingContext,
    | "upstreams"
    | "loads"
    | "limits"
    | "clock"
    | "random"
    | "metrics"
    | "countHostsSharingRetryBudget"
  >,
  choice: GenerationChoice,
): UpstreamCandidate | undefined {
  const { request: { service }, purpose } = choice;
  if (service.engine === undefined) {
    return undefined;
  }
  if (choice.among === "preferUnlimited") {
    return chooseGenerationUpstream(context, { ...choice, among: "unlimited" }) ??
      chooseGenerationUpstream(context, { ...choice, among: "limited" });
  }
  const nowMs = context.clock.readMonotonicMs();
  const isLimited = choice.among === "limited";
  const usable = listUsableUpstreams(context.upstreams, service.name, nowMs).filter(({ record }) =>
    !choice.excluded.has(record.id) &&
    (context.limits.getLimit(record) !== undefined) === isLimited
  );
  if (usable.length === 0) {
    return undefined; // the loads of all hosts need not be summed up
  }
  const candidates = listCandidates(context.loads, usable, nowMs);
  if (purpose === "start") {
    recordSpread(context, service.name, candidates);
  }
  return chooseEngine(candidates, {
    random: context.random,
    concurrentChoices: estimateConcurrentChoices({
      hosts: context.countHostsSharingRetryBudget(),
      candidates,
      promptTokens: choice.inFlight.promptTokens,
      countDraining: () => countDrainingGenerations(context, service.name, nowMs),
    }),
    limits: service.engine,
    prefillTokens: purpose === "start" ? choice.inFlight.promptTokens : 0,
    outputTokens: purpose === "copy" ? 0 : estimateRemainingTokens(choice.inFlight),
    memoryTokens: estimateMemoryTokens(choice.inFlight),
    memoryShare: MEMORY_SHARES[purpose],
    firstTokenMs: purpose === "start"
      ? computeFirstTokenMs(choice.request, nowMs)
      : Number.POSITIVE_INFINITY,
    ...(choice.nearDataCentre === undefined ? {} : { nearDataCentre: choice.nearDataCentre }),
  });
}

/** Records how evenly the engines of a service are used, as this host knows it. */
function recordSpread(
  { metrics }: Pick<ForwardingContext, "metrics">,
  service: string,
  candidates: readonly UpstreamCandidate[],
): void {
  const { spread, idleShare } = computeLoadSpread(candidates.map(({ load }) => load.inFlight));
  metrics.gauge("balancing.spread", spread, { service });
  metrics.gauge("balancing.idle", idleShare, { service });
}

/** Counts the generations of all hosts on upstreams of a service that drain. */
function countDrainingGenerations(
  { upstreams, loads }: Pick<ForwardingContext, "upstreams" | "loads">,
  service: string,
  nowMs: number,
): number {
  const draining = [...upstreams.upstreams.values()].filter(({ record, status }) =>
    record.service === service && status === "leaving"
  );
  if (draining.length === 0) {
    return 0;
  }
  const all = computeLoads(loads, nowMs);
  return draining.reduce((sum, { record }) => sum + (all.get(record.id)?.inFlight ?? 0), 0);
}

/** Time left for the first token to meet the target; infinite once the target has passed. */
function computeFirstTokenMs(request: ForwardedRequest, nowMs: number): number {
  const leftMs = request.arrivedAtMs + request.route.targetMs - nowMs;
  return leftMs <= 0 ? Number.POSITIVE_INFINITY : leftMs * BALANCING_LIMITS.firstTokenShare;
}
