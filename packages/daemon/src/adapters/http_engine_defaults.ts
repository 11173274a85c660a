/** Limits of the HTTP engine client. */
export const HTTP_ENGINE_DEFAULTS = Object.freeze({
  connectTimeoutMs: 2_000,
  /** Time from the request to the status line of the answer. */
  headersTimeoutMs: 10_000,
  /** Time for a whole cancel call. */
  cancelTimeoutMs: 2_000,
  /** Time in which an engine ends its response after a finish event. */
  endTimeoutMs: 1_000,
  /** Size of one event in UTF-16 units; a larger one is a fault of the link. */
  maxEventLength: 65_536,
  /** Events waiting for the relay; at the bound the connection is not read until they are taken. */
  maxQueuedEvents: 256,
});

/** Limits of the HTTP engine client by name. */
export type HttpEngineLimits = Readonly<Record<keyof typeof HTTP_ENGINE_DEFAULTS, number>>;
