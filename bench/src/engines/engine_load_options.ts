import type { RandomSource } from "@crocussail/protocol";
import type { UpstreamCandidate } from "@crocussail/daemon/balancing";

/** Picks an engine for a generation from what one host knows; undefined lets it wait. */
export type EngineChoice = (
  candidates: readonly UpstreamCandidate[],
  need: {
    readonly readTokens: number;
    readonly outputTokens: number;
    readonly memoryTokens: number;
    readonly firstTokenMs: number;
    readonly isMove: boolean;
    readonly hosts: number;
    readonly random: RandomSource;
  },
) => UpstreamCandidate | undefined;

/** Load and shape of a played deployment. */
export interface EngineLoadOptions {
  readonly seed: number;
  readonly hosts: number;
  readonly engines: number;
  /** Long generations a second; short ones come 1.4 times as often. */
  readonly longPerSecond: number;
  readonly seconds: number;
  /** Time between reclaims of an engine; 0 for none. */
  readonly reclaimEveryMs: number;
  readonly chooseEngine: EngineChoice;
  /** Generations are moved when their engine is reclaimed. */
  readonly movesOnNotice: boolean;
}

/** What callers got. */
export interface EngineLoadFigures {
  readonly asked: number;
  readonly inTime: number;
  readonly late: number;
  readonly lost: number;
  /** Least share of payoff of the requests that came within two seconds. */
  readonly worstWindow: number;
  readonly meanLongMs: number;
}
