import type { UpstreamRecord } from "./upstream_record.ts";

/**
 * `ready` accepts requests; `lapsed` lost its record during or soon after an outage of the settings
 * service, so it receives requests only if no reachable ready upstream is left; `leaving` is
 * draining: it accepts no new requests, and its in-flight requests may complete; `gone` was
 * replaced by a later incarnation.
 */
export type UpstreamStatus = "ready" | "lapsed" | "leaving" | "gone";

/** One incarnation of an upstream as this host sees it. */
export interface Upstream {
  readonly record: UpstreamRecord;
  readonly status: UpstreamStatus;
  /** Monotonic time of the last status change. */
  readonly sinceMs: number;
  /** It is draining only because its record is missing; a new record makes it ready again. */
  readonly isAbsent: boolean;
  /** Monotonic time at which its slow start ends. */
  readonly slowUntilMs: number;
  /** Monotonic time until which it has been said to be cold; in the past if it has not. */
  readonly coldUntilMs: number;
  /**
   * Monotonic time at which this host first saw this start, from which the service's cold start
   * counts; negative infinity if the first record said that its cold time is over.
   */
  readonly startSeenMs: number;
}

/** A pause that one incarnation of an upstream has asked for. */
export interface UpstreamPause {
  readonly startedAt: number;
  readonly untilMs: number;
}

/** Upstreams by id. Bounded by the published list and those removed within the retention time. */
export interface UpstreamState {
  readonly upstreams: Map<string, Upstream>;
  /** Upstreams to which a connection of this host failed: monotonic time of expiry, by id. */
  readonly unreachable: Map<string, number>;
  /** Upstreams that want no request from this host, by id. */
  readonly pauses: Map<string, UpstreamPause>;
  /** Upstreams that want none from another host: monotonic time of expiry, by id. */
  readonly pausesElsewhere: Map<string, number>;
  /** Evacuated data centres, with the monotonic time at which this host learnt of it. */
  readonly evacuated: Map<string, number>;
  /** The settings service does not respond; removals during this time are uncertain. */
  isSettingsServiceDown: boolean;
  /** Monotonic time at which its availability last changed; removals soon after are uncertain. */
  lastOutageAtMs: number;
  /** Monotonic time at which it last came back from an older copy. */
  restoredAtMs: number;
}
