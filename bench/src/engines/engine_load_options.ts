import type { RandomSource } from "@crocussail/protocol";
import type { UpstreamCandidate } from "@crocussail/daemon/balancing";

/** Chooses an engine for a generation from one host's view; undefined keeps it waiting. */
export type EngineChoice = (
  candidates: readonly UpstreamCandidate[],
  need: {
    readonly prefillTokens: number;
    readonly outputTokens: number;
    readonly memoryTokens: number;
    readonly firstTokenMs: number;
    readonly isMigration: boolean;
    readonly hosts: number;
    readonly random: RandomSource;
  },
) => UpstreamCandidate | undefined;

/** Load and size of a simulated deployment. */
export interface EngineLoadOptions {
  readonly seed: number;
  readonly hosts: number;
  readonly engines: number;
  /** Long generations a second; short ones arrive 1.4 times as often. */
  readonly longPerSecond: number;
  readonly seconds: number;
  /** Time between two reclaims of an engine; 0 disables reclaims. */
  readonly reclaimEveryMs: number;
  readonly chooseEngine: EngineChoice;
  /** Generations are migrated when their engine gets a reclaim notice. */
  readonly migratesOnNotice: boolean;
}

/** Results that the callers got. */
export interface EngineLoadFigures {
  /** Requests that arrived. */
  readonly asked: number;
  readonly inTime: number;
  readonly late: number;
  readonly lost: number;
  /** Lowest share of the possible credit, over windows of two seconds by arrival time. */
  readonly worstWindow: number;
  readonly meanLongMs: number;
}
