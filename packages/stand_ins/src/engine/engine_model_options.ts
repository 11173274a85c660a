/** Capacity and speed of a modelled engine. */
export interface EngineModelOptions {
  /** KV cache capacity for running generations, in tokens. */
  readonly capacityTokens: number;
  readonly maxBatch: number;
  /** Duration of a step with an empty batch, in milliseconds at speed 1. */
  readonly baseStepMs: number;
  /** Time that each running generation adds to a step, in milliseconds at speed 1. */
  readonly sequenceStepMs: number;
  /** Time that each prefilled token adds to a step, in milliseconds at speed 1. */
  readonly prefillTokenMs: number;
  /** Divides every duration. */
  readonly speed: number;
  /** Age of the load reports, in milliseconds. */
  readonly reportLagMs: number;
  /** Capacity of the prefix cache, in tokens. */
  readonly prefixCacheTokens: number;
}
