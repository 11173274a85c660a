import { createGapModel } from "./create_gap_model.ts";
import type { GapModel } from "./create_gap_model.ts";
import { createTeamService } from "./create_team_service.ts";
import type { TeamService } from "./create_team_service.ts";
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
  /** Memory of the engine; its own report replaces the published figure. */
  capacityTokens: number;
  /** When false, every request is granted immediately, as a benchmark baseline. */
  readonly isGated: boolean;
  readonly predictor: LengthPredictor;
  readonly service: TeamService;
  readonly gaps: GapModel;
  readonly queue: Map<string, QueueEntry>;
  readonly running: Map<string, RunningGeneration>;
  headroom: HeadroomState;
  report: LoadReport | undefined;
  /** Tokens that the engine held at the start of this ownership, less those of known grants. */
  foreignTokens: number;
  isLeaving: boolean;
  /** Time of the last urgent request. */
  lastUrgentMs: number;
  /** Grants since the last one that went to the longest waiting entry. */
  grantsSinceAged: number;
}

/** Options of {@link createOwnerState}. */
export interface OwnerStateOptions {
  readonly upstream: string;
  readonly maxBatch: number;
  readonly capacityTokens: number;
  readonly predictor: LengthPredictor;
  readonly isGated?: boolean;
  readonly nowMs: number;
}

const INITIAL_HEADROOM_SHARE = 0.05;

/** Creates the state of an owner that knows of no grant yet. */
export function createOwnerState(options: OwnerStateOptions): OwnerState {
  return {
    upstream: options.upstream,
    maxBatch: options.maxBatch,
    capacityTokens: options.capacityTokens,
    isGated: options.isGated ?? true,
    predictor: options.predictor,
    service: createTeamService(),
    gaps: createGapModel(),
    queue: new Map(),
    running: new Map(),
    headroom: { share: INITIAL_HEADROOM_SHARE, changedMs: options.nowMs },
    report: undefined,
    foreignTokens: 0,
    isLeaving: false,
    lastUrgentMs: Number.NEGATIVE_INFINITY,
    grantsSinceAged: 0,
  };
}
