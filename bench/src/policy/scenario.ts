/** One kind of work of a scenario. */
export interface KindSpec {
  readonly name: string;
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Share of the group's requests. */
  readonly share: number;
  readonly deadlineMs: number;
  readonly promptTokens: number;
  /** Median of the output length; lengths are log-normal. */
  readonly medianTokens: number;
  readonly sigma: number;
  readonly maxTokens: number;
}

/** Engines that serve the same model, and the work sent to them. */
export interface EngineGroup {
  readonly model: string;
  /** Speed of each engine. */
  readonly speeds: readonly number[];
  /** Memory of each engine, in tokens. */
  readonly capacities: readonly number[];
  readonly kinds: readonly KindSpec[];
}

/** Engines and workload of one user. */
export interface Scenario {
  readonly name: string;
  /** Share of the requests of each team; a few teams are large. */
  readonly teamShares: readonly number[];
  readonly groups: readonly EngineGroup[];
}
