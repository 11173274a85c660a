import type { UpstreamState } from "./upstream_state.ts";

/** Creates an empty table of upstreams. */
export function createUpstreamState(): UpstreamState {
  return {
    upstreams: new Map(),
    unreachable: new Map(),
    pauses: new Map(),
    pausesElsewhere: new Map(),
    evacuated: new Map(),
    isSettingsServiceDown: false,
    lastOutageAtMs: Number.NEGATIVE_INFINITY,
    restoredAtMs: Number.NEGATIVE_INFINITY,
  };
}
