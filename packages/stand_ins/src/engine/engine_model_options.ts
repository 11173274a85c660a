/** Shape and speed of a modelled engine. */
export interface EngineModelOptions {
  /** Memory of running generations, in tokens. */
  readonly capacityTokens: number;
  readonly maxBatch: number;
  /** Duration of a step with an empty batch, in milliseconds at speed 1. */
  readonly baseStepMs: number;
  /** Added to a step by each running generation, in milliseconds at speed 1. */
  readonly sequenceStepMs: number;
  /** Added to a step by each prompt token computed in it, in milliseconds at speed 1. */
  readonly prefillTokenMs: number;
  /** Divides every duration. */
  readonly speed: number;
  /** Age of the load reports, in milliseconds. */
  readonly reportLagMs: number;
  /** Memory of the prefix cache, in tokens. */
  readonly prefixCacheTokens: number;
}
