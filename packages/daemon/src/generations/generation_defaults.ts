/** Limits of the generations module. */
export const GENERATION_DEFAULTS = Object.freeze({
  /** Deadline of requests whose kind has none configured. */
  deadlineMs: 60_000,
  /** Urgency of requests whose kind has none configured. */
  urgency: 5,
  /** Maximum number of placements of one request, including the first. */
  maxPlacements: 3,
  /** Maximum number of consecutive reconnects without a new token. */
  maxReconnects: 5,
  firstReconnectMs: 50,
  maxReconnectMs: 2_000,
  /** Time without an event from the engine after which its connection is considered stalled. */
  stallMs: 10_000,
  /** Delay of a timer that shows that the process was paused; the timeout then starts anew. */
  pauseThresholdMs: 1_000,
  /** Time to wait for a caller's connection to drain before the stream is cut. */
  slowCallerMs: 30_000,
  /** Delay between the final error event to a slow caller and the close of its connection. */
  closeDelayMs: 1_000,
  /** Time for which a generation is kept for a resume after its caller has disconnected. */
  resumeGraceMs: 5_000,
  /** Time for which the first host of a stream keeps its grant after a resume on another host. */
  movedRunTtlMs: 600_000,
  /** Attempts to send a handover message to another host, and the timeout of each. */
  handoverAttempts: 3,
  handoverTimeoutMs: 1_000,
  /** Attempts to cancel a generation on its upstream, and the delay between them. */
  cancelAttempts: 3,
  cancelRetryMs: 500,
  /** Maximum length of a non-streaming response in UTF-16 code units; above it, an error is sent. */
  maxReplyLength: 8_388_608,
  /** Maximum number of retry tokens, which is also the initial number. */
  retryBurst: 20,
  /** Maximum number of running and waiting streams on one daemon; further requests are refused. */
  maxStreams: 8_192,
  /** Retry delay sent to a caller that is refused because of too many streams. */
  streamRetryAfterMs: 1_000,
  /** Number of tokens between two progress reports to admission. */
  progressTokens: 16,
  /** Number of prompt characters that are estimated as one token. */
  tokenCharacters: 4,
  generationIdBytes: 12,
});

/** Limits of the generations module by name. */
export type GenerationLimits = Readonly<Record<keyof typeof GENERATION_DEFAULTS, number>>;
