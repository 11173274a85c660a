/** Load of upstreams and the choice of one for a request. @module */
export { chooseEngine } from "./choose_engine.ts";
export type { EngineRequirements } from "./choose_engine.ts";
export { chooseServiceUpstream } from "./choose_service_upstream.ts";
export { computeCostTolerance } from "./compute_cost_tolerance.ts";
export { BALANCING_LIMITS } from "./constants.ts";
export { createLoadState } from "./create_load_state.ts";
export { estimateMemoryTokens } from "./estimate_memory_tokens.ts";
export { estimateRemainingTokens } from "./estimate_remaining_tokens.ts";
export type { InFlightRequest } from "./in_flight_request.ts";
export { listCandidates } from "./list_candidates.ts";
export type { LoadState, ObservedPerformance, PeerLoads } from "./load_state.ts";
export { observePerformance } from "./observe_performance.ts";
export { computeLoads } from "./compute_loads.ts";
export { computeLocalLoads } from "./compute_local_loads.ts";
export type { CandidatePerformance, UpstreamCandidate } from "./upstream_candidate.ts";
export type { UpstreamLoad } from "./upstream_load.ts";
