import type { Flight } from "./flight.ts";
import type { UpstreamLoad } from "./upstream_load.ts";

/** What another host reported last. */
export interface PeerLoads {
  /** Monotonic time from which they are left out, unless a new report comes. */
  readonly expiresMs: number;
  readonly loads: ReadonlyMap<string, UpstreamLoad>;
  readonly conduct: ReadonlyMap<string, UpstreamConduct>;
}

/** What one host saw of an upstream's behaviour, smoothed; undefined where it saw nothing yet. */
export interface UpstreamConduct {
  /** Tokens of prompts read in a millisecond. */
  readonly tokensPerMs: number | undefined;
  /** Time between tokens of one generation, in milliseconds. */
  readonly tokenMs: number | undefined;
  /** Share of requests that failed there. */
  readonly failureShare: number;
}

/** Own flights, other hosts' loads, and conduct of upstreams; bounded by flights and upstreams. */
export interface LoadState {
  readonly flights: Map<string, Flight>;
  readonly peers: Map<string, PeerLoads>;
  readonly conduct: Map<string, UpstreamConduct>;
}
