/** Limits of the generations slice. */
export const GENERATION_DEFAULTS = Object.freeze({
  /** Deadline of a kind of work without one of its own. */
  deadlineMs: 60_000,
  /** Urgency of a kind of work without one of its own. */
  urgency: 5,
  /** Placements of one request, the first included. */
  maxPlacements: 3,
  /** Failed reconnects in a row, without a new token between them. */
  maxReconnects: 5,
  firstReconnectMs: 50,
  maxReconnectMs: 2_000,
  /** Silence of the engine after which the link counts as stalled. */
  stallMs: 10_000,
  /** A timer this late means that the process was paused; it then waits once more. */
  pauseMs: 1_000,
  /** Time for which a caller's full connection is waited for before the stream is cut. */
  slowCallerMs: 30_000,
  /** Time that the final error event of a slow caller gets before its connection is closed. */
  cutMs: 1_000,
  /** Time for which a generation whose caller has gone waits for a resume. */
  resumeGraceMs: 5_000,
  /** Time for which a former host keeps the admission grant of a stream resumed elsewhere. */
  handoverMs: 600_000,
  /** Attempts to tell a former host of a resume, and the time for each. */
  handoverAttempts: 3,
  handoverTimeoutMs: 1_000,
  /** Attempts to cancel a generation on its upstream, and the time between them. */
  cancelAttempts: 3,
  cancelRetryMs: 500,
  /** Size of a reply in one piece in UTF-16 units; a larger one ends with an error. */
  maxReplyLength: 8_388_608,
  /** Retry tokens held at most; also what a fresh daemon starts with. */
  retryBurst: 20,
  /** Streams that run or wait on one daemon; further requests are refused. */
  maxStreams: 8_192,
  /** Delay named to a caller whose team has too many streams. */
  streamRetryAfterMs: 1_000,
  /** Tokens between two reports of progress to admission. */
  progressTokens: 16,
  /** Characters counted as one token of a prompt. */
  tokenCharacters: 4,
  generationIdBytes: 12,
});

/** Limits of the generations slice by name. */
export type GenerationLimits = Readonly<Record<keyof typeof GENERATION_DEFAULTS, number>>;
