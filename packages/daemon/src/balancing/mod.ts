/** Load of upstreams and the choice of one for a request. @module */
export { chooseEngine } from "./choose_engine.ts";
export type { EngineRequirements } from "./choose_engine.ts";
export { chooseServiceUpstream } from "./choose_service_upstream.ts";
export { computeNearCostShare } from "./compute_near_cost_share.ts";
export { BALANCING_LIMITS } from "./constants.ts";
export { createLoadState } from "./create_load_state.ts";
export { estimateFlightTokens } from "./estimate_flight_tokens.ts";
export { estimateRestTokens } from "./estimate_rest_tokens.ts";
export type { Flight } from "./flight.ts";
export { listCandidates } from "./list_candidates.ts";
export type { LoadState, PeerLoads, UpstreamConduct } from "./load_state.ts";
export { observeConduct } from "./observe_conduct.ts";
export { computeLoads } from "./compute_loads.ts";
export { computeOwnLoads } from "./compute_own_loads.ts";
export type { CandidatePerformance, UpstreamCandidate } from "./upstream_candidate.ts";
export type { UpstreamLoad } from "./upstream_load.ts";
