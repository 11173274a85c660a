import {
  BALANCING_LIMITS,
  chooseEngine,
  computeCostTolerance,
  estimateMemoryTokens,
  estimateRemainingTokens,
  listCandidates,
} from "../balancing/mod.ts";
import type { InFlightRequest, UpstreamCandidate } from "../balancing/mod.ts";
import { listUsableUpstreams } from "../upstreams/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import type { PlacementTurn } from "../waiting/mod.ts";
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
  /** Engines beside the requests that wait and precede this one; undefined if none waits. */
  readonly turn?: PlacementTurn;
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
    "upstreams" | "loads" | "limits" | "clock" | "random" | "countHostsSharingRetryBudget"
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
  const isCandidate = ({ record }: Upstream) =>
    !choice.excluded.has(record.id) &&
    (context.limits.getLimit(record) !== undefined) === isLimited;
  const usable = choice.turn === undefined
    ? listUsableUpstreams(context.upstreams, service.name, nowMs).filter(isCandidate)
    : [];
  const candidates = choice.turn?.candidates.filter(({ upstream }) => isCandidate(upstream)) ??
    // Without upstreams the loads of all hosts need not be summed up.
    (usable.length === 0 ? [] : listCandidates(context.loads, usable, nowMs));
  if (candidates.length === 0) {
    return undefined;
  }
  return chooseEngine(candidates, {
    random: context.random,
    costTolerance: computeCostTolerance(context.countHostsSharingRetryBudget()),
    limits: service.engine,
    prefillTokens: purpose === "start" ? choice.inFlight.promptTokens : 0,
    outputTokens: purpose === "copy" ? 0 : estimateRemainingTokens(choice.inFlight),
    memoryTokens: estimateMemoryTokens(choice.inFlight),
    memoryShare: MEMORY_SHARES[purpose],
    firstTokenMs: purpose === "start" && choice.turn?.isLate !== true
      ? computeFirstTokenMs(choice.request, nowMs)
      : Number.POSITIVE_INFINITY,
    ...(choice.nearDataCentre === undefined ? {} : { nearDataCentre: choice.nearDataCentre }),
  });
}

/** Time left for the first token to meet the target; infinite once the target has passed. */
function computeFirstTokenMs(request: ForwardedRequest, nowMs: number): number {
  const leftMs = request.arrivedAtMs + request.route.targetMs - nowMs;
  return leftMs <= 0 ? Number.POSITIVE_INFINITY : leftMs * BALANCING_LIMITS.firstTokenShare;
}
