/** A request that this host has placed on an upstream and that has not ended. */
export interface InFlightRequest {
  readonly requestId: string;
  readonly upstreamId: string;
  /** Upstream that holds a backup copy of its KV cache. */
  copyUpstreamId: string | undefined;
  /** Upstream to which its KV cache is moved; it can resume there only with the handle of the move. */
  moveUpstreamId: string | undefined;
  /** Prompt tokens; 0 for requests to plain services. */
  readonly promptTokens: number;
  /** Maximum tokens that it may produce. */
  readonly maxOutputTokens: number;
  /** Output tokens that the caller expects, as stated in the request. */
  readonly expectedTokens: number;
  producedTokens: number;
  /** The prompt is in prefill: no event has been received. */
  isPrefilling: boolean;
  readonly placedAtMs: number;
  /** Tokens of other prompts that were in prefill there when it was placed. */
  readonly aheadTokens: number;
}
