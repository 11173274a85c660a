import { createGapModel } from "./create_gap_model.ts";
import type { GapModel } from "./create_gap_model.ts";
import { createServedTokenCounts } from "./create_served_token_counts.ts";
import type { ServedTokenCounts } from "./create_served_token_counts.ts";
import type { HeadroomState } from "./headroom_state.ts";
import type { LengthPredictor } from "./length_predictor.ts";
import type { LoadReport } from "./load_report.ts";
import type { MemoryShare } from "./memory_projection.ts";
import type { QueueEntry } from "./queue_entry.ts";

/** A granted generation. */
export interface RunningGeneration extends MemoryShare {
  readonly entry: QueueEntry;
  readonly produced: number;
  /** Expected number of remaining tokens. */
  readonly remainingTokens: number;
  /** Time of the last report of progress, or of the grant. */
  readonly lastProgressMs: number;
  /** Time at which the lease expires and the grant counts as lost. */
  readonly leaseUntilMs: number;
}

/** State of one upstream's admission owner. Only `decideOwner` changes it. */
export interface OwnerState {
  readonly upstream: string;
  readonly maxBatch: number;
  /** Memory of the engine, as published in the settings until the engine reports it. */
  capacityTokens: number;
  /** False grants every request immediately, as a baseline of a benchmark. */
  readonly limitsGrants: boolean;
  readonly predictor: LengthPredictor;
  /** Tokens served to each team, for fairness between teams. */
  readonly service: ServedTokenCounts;
  readonly gaps: GapModel;
  readonly queue: Map<string, QueueEntry>;
  readonly running: Map<string, RunningGeneration>;
  headroom: HeadroomState;
  report: LoadReport | undefined;
  /** Tokens in use since the first load report that no grant known to this owner accounts for. */
  unattributedTokens: number;
  isLeaving: boolean;
  /** Time of the last urgent request. */
  lastUrgentMs: number;
  /** Number of grants since the last one that went to the longest waiting entry. */
  grantsSinceLongestWaiting: number;
}

/** Options of {@link createOwnerState}. */
export interface OwnerStateOptions {
  readonly upstream: string;
  readonly maxBatch: number;
  readonly capacityTokens: number;
  readonly predictor: LengthPredictor;
  readonly limitsGrants?: boolean;
  readonly nowMs: number;
}

const INITIAL_HEADROOM_SHARE = 0.05;

/** Creates the state of an owner that knows of no grant yet. */
export function createOwnerState(options: OwnerStateOptions): OwnerState {
  return {
    upstream: options.upstream,
    maxBatch: options.maxBatch,
    capacityTokens: options.capacityTokens,
    limitsGrants: options.limitsGrants ?? true,
    predictor: options.predictor,
    service: createServedTokenCounts(),
    gaps: createGapModel(),
    queue: new Map(),
    running: new Map(),
    headroom: { share: INITIAL_HEADROOM_SHARE, changedAtMs: options.nowMs },
    report: undefined,
    unattributedTokens: 0,
    isLeaving: false,
    lastUrgentMs: Number.NEGATIVE_INFINITY,
    grantsSinceLongestWaiting: 0,
  };
}
