import type { UpstreamExchange } from "../adapters/upstream_exchange.ts";
import type { Flight } from "../balancing/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";

/**
 * `waiting` for room; `running` at an upstream; `switching` while another upstream is asked to go on;
 * `ended` with its final answer.
 */
export type GenerationPhase = "waiting" | "running" | "switching" | "ended";

/** The stream of a generation at one upstream. */
export interface GenerationStream {
  exchange: UpstreamExchange | undefined;
  hasEvent: boolean;
  /** Events kept back while another upstream is asked; sent if this one goes on after all. */
  held: Uint8Array[] | undefined;
  /** How the stream closed, once it has. */
  closed: "end" | "fail" | undefined;
  /** Another stream has taken over; what still comes here is dropped. */
  isDetached: boolean;
  /** Called when the stream closes. */
  noteClosed: (() => void) | undefined;
}

/** One generation of this host and where it runs. */
export interface GenerationRun {
  readonly request: ForwardedRequest;
  phase: GenerationPhase;
  upstream: Upstream | undefined;
  stream: GenerationStream | undefined;
  flight: Flight | undefined;
  /** Number of the last event that the caller has been sent. */
  lastEventId: number | undefined;
  sentEvents: number;
  /** Monotonic time at which the caller was sent the last event; undefined before the first. */
  sentMs: number | undefined;
  /** Time from the request to the first event. */
  firstEventMs: number;
  /** Longest time between two events that the caller was sent. */
  longestGapMs: number;
  /** Monotonic time of the last event, or of the send before the first. */
  lastEventMs: number;
  /** A move is under way. */
  isMoving: boolean;
  /** Goes on from its copy after its upstream broke off, or ends it honestly. */
  readonly restore: (reason: string) => void;
  /** Ends the run as a whole. */
  finish: (end: string) => void;
}
