/** One request to an upstream, on its own connection. */
export interface UpstreamExchangeRequest {
  /** `ip:port`. */
  readonly address: string;
  /** Id of the upstream that the request is for; several may have had the address. */
  readonly upstreamId?: string;
  readonly method: string;
  /** Path and query, unchanged from the caller's request. */
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  /** Connect timeout in milliseconds. */
  readonly connectTimeoutMs: number;
}

/** Receives the parts of a response; the last call is either `end` or `fail`. */
export interface UpstreamExchangeHandler {
  receiveHead(status: number, statusText: string, rawHeaders: readonly string[]): void;
  receiveData(chunk: Uint8Array): void;
  /** Called when the complete body has been received. */
  end(): void;
  /** `isSent` is true if any byte of the request may have been sent. */
  fail(isSent: boolean, reason: string): void;
}

/** An exchange in progress. */
export interface UpstreamExchange {
  /**
   * Closes the connection; the handler is not called again. Unless `mustStop` is set, the connection
   * may stay open for a moment, to read what the upstream says of itself.
   */
  abort(mustStop?: boolean): void;
  /** Whether any byte of the request may have been sent. */
  hasSent(): boolean;
}

/** Opens an exchange; never throws. */
export type OpenUpstreamExchange = (
  request: UpstreamExchangeRequest,
  handler: UpstreamExchangeHandler,
) => UpstreamExchange;
