/** One request to an upstream, on a connection of its own. */
export interface UpstreamExchangeRequest {
  /** `ip:port`. */
  readonly address: string;
  readonly method: string;
  /** Path and query as the caller wrote them. */
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  /** Time for the connection to open, in milliseconds. */
  readonly connectTimeoutMs: number;
}

/** Receives the parts of an answer; exactly one of `end` and `fail` comes last. */
export interface UpstreamExchangeHandler {
  receiveHead(status: number, statusText: string, rawHeaders: readonly string[]): void;
  receiveData(chunk: Uint8Array): void;
  /** The whole body has come. */
  end(): void;
  /** `isSent` tells whether any byte of the request may have left. */
  fail(isSent: boolean, reason: string): void;
}

/** A running exchange. */
export interface UpstreamExchange {
  /** Closes the connection; the handler hears nothing more. */
  abort(): void;
}

/** Opens an exchange; never throws. */
export type OpenUpstreamExchange = (
  request: UpstreamExchangeRequest,
  handler: UpstreamExchangeHandler,
) => UpstreamExchange;
