/** Limits of the HTTP engine client. */
export const HTTP_ENGINE_DEFAULTS = Object.freeze({
  connectTimeoutMs: 2_000,
  /** Timeout from the request to the status line of the response. */
  headersTimeoutMs: 10_000,
  /** Timeout of a cancel call. */
  cancelTimeoutMs: 2_000,
  /** Time for an engine to end its response after a finish event. */
  endTimeoutMs: 1_000,
  /** Size of one event in UTF-16 units; a larger one counts as malformed and ends the stream. */
  maxEventLength: 65_536,
  /** Events queued for the relay; above this, reading pauses until the relay has taken them. */
  maxQueuedEvents: 256,
});

/** Limits of the HTTP engine client by name. */
export type HttpEngineLimits = Readonly<Record<keyof typeof HTTP_ENGINE_DEFAULTS, number>>;
