import type { UpstreamExchange } from "../adapters/upstream_exchange.ts";
import type { InFlightRequest } from "../balancing/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";

/**
 * `waiting` for room; `handedOver` to another host; `running` on an upstream; `switching` while
 * another upstream is requested to resume it; `ended` after the final response.
 */
export type GenerationPhase = "waiting" | "handedOver" | "running" | "switching" | "ended";

/** The response stream of a generation from one upstream. */
export interface GenerationStream {
  exchange: Pick<UpstreamExchange, "abort"> | undefined;
  /** Events buffered while another upstream is requested to resume; sent if it does not resume. */
  bufferedEvents: Uint8Array[] | undefined;
  /** How the stream closed; undefined while it is open. */
  closed: "end" | "fail" | undefined;
  /** Another stream has replaced this one; further data is dropped. */
  isDetached: boolean;
  /** Called once the stream closes. */
  handleClose: (() => void) | undefined;
}

/** One generation forwarded by this host, and its current upstream. */
export interface GenerationRun {
  readonly request: ForwardedRequest;
  phase: GenerationPhase;
  upstream: Upstream | undefined;
  stream: GenerationStream | undefined;
  inFlight: InFlightRequest | undefined;
  /** Id of the last event sent to the caller. */
  lastEventId: number | undefined;
  sentEvents: number;
  /** Monotonic time of the last event sent to the caller; undefined before the first. */
  lastSentAtMs: number | undefined;
  /** Time from the request to the first event. */
  firstEventMs: number;
  /** Longest time between two events sent to the caller. */
  longestGapMs: number;
  /** Monotonic time of the last event received; before the first, when the request was sent. */
  lastEventAtMs: number;
  /** Monotonic time before which another engine is not requested because this one is silent. */
  silenceCheckAtMs: number;
  /** A migration is in progress. */
  isMigrating: boolean;
  /** Resumes it from its backup copy after its stream failed, or ends it with an error. */
  readonly restore: (reason: string) => void;
  /** Ends the run. */
  finish: (end: string) => void;
}
