import type { AnswerHead } from "../retries/mod.ts";

/** Decoded headers of a caller's request. */
export interface CallerRequestHead {
  /** Id of this attempt of the caller; undefined if the header is missing or appears twice. */
  readonly requestId: string | undefined;
  /** Milliseconds that the caller waits; undefined if it sets no deadline. */
  readonly deadlineMs: number | undefined;
  readonly teamKey: string | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Output tokens that the caller expects. */
  readonly expectedTokens: number;
  /** Ids of the prompt's parts, in order; the last one is specific to the request or its session. */
  readonly promptParts: readonly string[];
  /**
   * Id of the last event that the caller has received of an earlier attempt; undefined if the header
   * is missing, appears twice or is not a whole number.
   */
  readonly lastEventId: number | undefined;
}

/** Location of a copy of a generation's KV cache. */
export interface KvCacheSource {
  /** `ip:port` of the engine that holds the copy. */
  readonly address: string;
  readonly handle: string;
}

/** Values that the daemon adds to the headers of a request to an upstream. */
export interface UpstreamRequestFields {
  /** Milliseconds until the deadline of the request. */
  readonly leftMs: number;
  /** Id of the only upstream that may execute the request. */
  readonly upstreamId: string;
  readonly team: string | undefined;
  /** Address of the engine that keeps a backup copy of the KV cache. */
  readonly copyAddress?: string;
  readonly resumeFrom?: KvCacheSource;
  /**
   * Last event that the caller has received, when a generation resumes; `none` removes the caller's
   * own header, and without a value it is passed through.
   */
  readonly lastEventId?: number | "none";
}

/** What an upstream says of itself in the header of a response. */
export interface UpstreamSignals {
  /** It drains. */
  readonly isLeaving: boolean;
  /** Time for which it wants no request from this host, in milliseconds; 0 for none. */
  readonly pauseMs: number;
  /**
   * Requests a second that it takes from all hosts together: undefined if it names no limit,
   * `unreadable` if it names one that is no number.
   */
  readonly limitPerSecond: number | "unreadable" | undefined;
  /**
   * Refusals a second above which it falls over, of the requests of all hosts together; as the limit
   * where it names none or no number.
   */
  readonly refusalsPerSecond: number | "unreadable" | undefined;
  /** Time for which it is still cold, in milliseconds; 0 if it is warm or does not say. */
  readonly coldMs: number;
  /** Headers of the response for the caller, names and values alternating. */
  readonly headers: readonly string[];
}

/** Names and formats of headers in a deployment; raw headers alternate names and values. */
export interface DeploymentDialect {
  decodeRequest(rawHeaders: readonly string[]): CallerRequestHead;
  /** Renders the caller's headers for an upstream without hop-by-hop headers; adds `fields`. */
  encodeRequest(rawHeaders: readonly string[], fields: UpstreamRequestFields): string[];
  decodeAnswer(status: number, rawHeaders: readonly string[]): AnswerHead;
  /** Decodes what an upstream says of itself in any response. */
  decodeSignals(status: number, rawHeaders: readonly string[]): UpstreamSignals;
  /** Renders the headers that tell a caller when to retry. */
  encodeRetryAdvice(retryAfterMs: number): string[];
}
