/** One generation as the engine model runs it. */
export interface EngineJob {
  readonly id: string;
  readonly promptTokens: number;
  /** Tokens that the answer will have; unknown to the callers of the model. */
  readonly outputTokens: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Shared start of the prompt that the prefix cache may hold. */
  readonly prefix?: { readonly key: string; readonly tokens: number };
}
