/** Table of upstreams as this host sees them. @module */
export { applyJoinedRecord } from "./apply_joined_record.ts";
export { applyUpstreamRecord } from "./apply_upstream_record.ts";
export { applyUpstreamRemoval } from "./apply_upstream_removal.ts";
export { UPSTREAM_LIMITS } from "./constants.ts";
export { createUpstreamState } from "./create_upstream_state.ts";
export { expireUpstreams } from "./expire_upstreams.ts";
export { findShortestPause } from "./find_shortest_pause.ts";
export { findUpstreamAt } from "./find_upstream_at.ts";
export { getPauseMs } from "./get_pause_ms.ts";
export { isSameIncarnation } from "./is_same_incarnation.ts";
export { isUpstreamReachable } from "./is_upstream_reachable.ts";
export { listAbsentUpstreams } from "./list_absent_upstreams.ts";
export { listUsableUpstreams } from "./list_usable_upstreams.ts";
export { markUpstreamLeaving } from "./mark_upstream_leaving.ts";
export { markUpstreamUnreachable } from "./mark_upstream_unreachable.ts";
export { pauseUpstream } from "./pause_upstream.ts";
export type { UpstreamRecord } from "./upstream_record.ts";
export type { Upstream, UpstreamState, UpstreamStatus } from "./upstream_state.ts";
