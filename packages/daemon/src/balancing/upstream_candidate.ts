import type { Upstream } from "../upstreams/mod.ts";
import type { UpstreamLoad } from "./upstream_load.ts";

/** Assumed performance of an upstream: the mean over all hosts, or over all upstreams. */
export interface CandidatePerformance {
  readonly tokensPerMs: number;
  readonly tokenMs: number;
  readonly failureShare: number;
}

/** An upstream that may serve a request, with its load and performance. */
export interface UpstreamCandidate {
  readonly upstream: Upstream;
  readonly load: UpstreamLoad;
  readonly conduct: CandidatePerformance;
}
