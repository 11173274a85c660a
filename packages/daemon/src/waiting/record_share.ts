import { WAITING_LIMITS } from "./constants.ts";
import { listShareKeys } from "./list_share_keys.ts";
import type { ShareState } from "./share_state.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/** Counts the tokens of a placed request for its account and kind. */
export function recordShare(
  state: ShareState,
  request: Pick<WaitingRequest, "account" | "kind" | "memoryTokens">,
): void {
  for (const key of listShareKeys(request)) {
    const tokens = (state.tokens.get(key) ?? 0) + request.memoryTokens;
    state.tokens.delete(key); // keeps the map ordered by the last placement
    state.tokens.set(key, tokens);
  }
  for (const key of state.tokens.keys()) {
    if (state.tokens.size <= WAITING_LIMITS.maxShares) {
      return;
    }
    state.tokens.delete(key);
  }
}
