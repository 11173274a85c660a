import type { BenchUpstream } from "./flight.ts";
import type { TrafficRequest } from "./traffic_request.ts";

/** What happens in a run. */
export type BenchEvent =
  | { readonly type: "arrival"; readonly request: TrafficRequest }
  | { readonly type: "wake"; readonly upstream: BenchUpstream; readonly version: number }
  | { readonly type: "finished"; readonly upstream: BenchUpstream; readonly id: string }
  | { readonly type: "poll" }
  | { readonly type: "leave"; readonly upstream: BenchUpstream }
  | { readonly type: "listed"; readonly upstream: BenchUpstream }
  | { readonly type: "death"; readonly upstream: BenchUpstream };
