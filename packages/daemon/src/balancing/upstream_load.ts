/** Load of one upstream, caused by one host or by all hosts. */
export interface UpstreamLoad {
  /** Number of in-flight requests. */
  readonly inFlight: number;
  /** Projected KV cache of the in-flight requests and of copies held there, in tokens. */
  readonly memoryTokens: number;
  /** Tokens of prompts that are in prefill. */
  readonly prefillingTokens: number;
}
