import type { BenchUpstream } from "./in_flight_request.ts";
import type { TrafficRequest } from "./traffic_request.ts";

/** Event of a simulated run. */
export type BenchEvent =
  | { readonly type: "arrival"; readonly request: TrafficRequest }
  | { readonly type: "wake"; readonly upstream: BenchUpstream; readonly version: number }
  | { readonly type: "finished"; readonly upstream: BenchUpstream; readonly id: string }
  | { readonly type: "poll" }
  | { readonly type: "leave"; readonly upstream: BenchUpstream }
  /** The published list of draining upstreams contains the upstream. */
  | { readonly type: "listed"; readonly upstream: BenchUpstream }
  | { readonly type: "crash"; readonly upstream: BenchUpstream };
