import { listShareKeys } from "./list_share_keys.ts";
import type { ShareState } from "./share_state.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/**
 * Raises the counters of a request that starts to wait to the lowest of those that wait already, so
 * that an account that was idle does not precede all others until it has caught up.
 */
export function updateShare(
  state: ShareState,
  request: WaitingRequest,
  waiting: readonly WaitingRequest[],
): void {
  listShareKeys(request).forEach((key, index) => {
    const others = waiting.map((other) => listShareKeys(other)[index] ?? "");
    if (others.length === 0 || others.includes(key)) {
      return;
    }
    const lowest = Math.min(...others.map((other) => state.tokens.get(other) ?? 0));
    state.tokens.set(key, Math.max(state.tokens.get(key) ?? 0, lowest));
  });
}
