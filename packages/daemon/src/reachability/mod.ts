/** Which services a host reaches, by its own connections to their upstreams. @module */
export { createReachability } from "./create_reachability.ts";
export type {
  Reachability,
  ReachabilityAttempt,
  ReachabilityOptions,
  ReachableUpstream,
} from "./create_reachability.ts";
