/** Limits of upstreams for the requests of all hosts together, named ones and those of cold upstreams. @module */
export type { ColdTime } from "./cold_time.ts";
export type { PendingPermit, PermitResult } from "./create_permit_client.ts";
export type { LimitObservation } from "./limit_observation.ts";
export { mergeLimitObservations } from "./merge_limit_observations.ts";
export { createUpstreamLimits } from "./create_upstream_limits.ts";
export type { UpstreamLimits } from "./create_upstream_limits.ts";
