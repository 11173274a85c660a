import type { InFlightRequest } from "./in_flight_request.ts";
import type { UpstreamLoad } from "./upstream_load.ts";

/** Last report of another host. */
export interface PeerLoads {
  /** Monotonic time after which the report is ignored. */
  readonly expiresAtMs: number;
  readonly loads: ReadonlyMap<string, UpstreamLoad>;
  readonly conduct: ReadonlyMap<string, ObservedPerformance>;
}

/**
 * Moving averages of an upstream's performance as observed by one host; undefined if not observed.
 */
export interface ObservedPerformance {
  /** Prefill rate, in tokens per millisecond. */
  readonly tokensPerMs: number | undefined;
  /** Time between tokens of one generation, in milliseconds. */
  readonly tokenMs: number | undefined;
  /** Share of its requests that failed. */
  readonly failureShare: number;
}

/**
 * In-flight requests of this host, loads reported by peers, and observed performance of upstreams.
 * Bounded by the number of in-flight requests and upstreams.
 */
export interface LoadState {
  readonly inFlightRequests: Map<string, InFlightRequest>;
  readonly peers: Map<string, PeerLoads>;
  readonly conduct: Map<string, ObservedPerformance>;
}
