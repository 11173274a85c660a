import type { LoadState } from "./load_state.ts";

/** Creates a state without in-flight requests. */
export function createLoadState(): LoadState {
  return { inFlightRequests: new Map(), peers: new Map(), conduct: new Map() };
}
