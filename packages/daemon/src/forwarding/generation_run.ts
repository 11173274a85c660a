import type { UpstreamExchange } from "../adapters/upstream_exchange.ts";
import type { InFlightRequest } from "../balancing/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import type { FailedStream, StreamRecovery } from "./decide_stream_recovery.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
import type { StopCalls } from "./former_engine.ts";

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
  /** What the calls to stop it at its engine have shown; undefined before the first. */
  stopCalls: StopCalls | undefined;
}

/** Why a generation is run again. */
export type RerunCause =
  | "refused"
  | "notSent"
  | "failedResponse"
  | "lostResponse"
  | "brokenStream"
  | "skippedEvent"
  | "draining";

/** Failure of the engine of a generation. */
export type RunFailure = Pick<FailedStream, "outcome" | "status" | "hasCopy">;

/** One generation forwarded by this host, and its current upstream. */
export interface GenerationRun {
  readonly request: ForwardedRequest;
  phase: GenerationPhase;
  upstream: Upstream | undefined;
  stream: GenerationStream | undefined;
  /** Stream of the engine that is requested to resume it from a copy of its KV cache. */
  resumingStream: GenerationStream | undefined;
  /** That engine, until it responds or is given up. */
  resumingAt: Upstream | undefined;
  inFlight: InFlightRequest | undefined;
  /** Ids of the engines that it was sent to; a run again prefers others. */
  readonly tried: Set<string>;
  /** Events that the caller has received of its earlier attempts, by its own last event id. */
  readonly formerEvents: number;
  /** Engines that failed after they may have run it; a migration does not count. */
  executedAttempts: number;
  /** Resolves once the quarantine can decide on the last engine that was lost. */
  lossRecorded: Promise<void> | undefined;
  /**
   * Id of the last event sent to the caller; before the first, the one that the caller of a resumable
   * stream has named.
   */
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
  /**
   * An upstream that was to take it over may have begun and was given up; it stays on its engine, as
   * each further one could add to the time for which two engines run it.
   */
  hasLateTarget: boolean;
  /** A migration is in progress. */
  isMigrating: boolean;
  /** Continues it at another engine after its stream failed, or ends it with an error. */
  readonly restore: (reason: string, cause?: RerunCause) => void;
  /** Decides what follows a failure of its engine. */
  readonly decideRecovery: (failure: RunFailure) => StreamRecovery;
  /** Runs it again at another engine after `restore`; returns false if it must not run again. */
  readonly runAgain: (reason: string, cause: RerunCause) => boolean;
  /** Runs it again at another engine that has room now; returns false if it stays on its engine. */
  readonly leaveDraining: () => boolean;
  /** Ends the run. */
  finish: (end: string) => void;
  /** Reports an error in work that goes on beside the run. */
  readonly reportFault: (error: unknown) => void;
}
