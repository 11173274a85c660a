/** A generation that the engine model executes. */
export interface EngineJob {
  readonly id: string;
  readonly promptTokens: number;
  /** Number of tokens that the generation will produce; a real client does not know it. */
  readonly outputTokens: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Prefix of the prompt that the prefix cache may hold. */
  readonly prefix?: { readonly key: string; readonly tokens: number };
}
