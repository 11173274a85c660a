import type { BenchUpstream } from "./bench_upstream.ts";
import type { TrafficRequest } from "./traffic_request.ts";

/** A request on its way through the bench. */
export interface Flight {
  readonly request: TrafficRequest;
  /** Upstreams not to ask again. */
  readonly excluded: Set<string>;
  /** Queue places held. */
  readonly places: Set<BenchUpstream>;
  state: "asking" | "waiting" | "granted" | "ended";
  attempts: number;
  grantedAt: BenchUpstream | undefined;
  grantedMs: number;
  produced: number;
  /** Tokens at the last look at the stream. */
  notedTokens: number;
  /** Time of the last report to the owner. */
  reportedMs: number;
  lastTokenMs: number | undefined;
  pausedMs: number | undefined;
}
