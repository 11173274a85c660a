import type { Upstream, UpstreamState } from "./upstream_state.ts";

/**
 * Finds the upstream at an address: the one with this id, or else the one that started last. The
 * record of an earlier process may end later than that of its successor begins.
 */
export function findUpstreamAt(
  state: Pick<UpstreamState, "upstreams">,
  address: string,
  id?: string,
): Upstream | undefined {
  const named = id === undefined ? undefined : state.upstreams.get(id);
  if (named?.record.address === address) {
    return named;
  }
  let found: Upstream | undefined;
  for (const upstream of state.upstreams.values()) {
    const isCandidate = upstream.record.address === address && upstream.status !== "gone";
    if (isCandidate && upstream.record.startedAt >= (found?.record.startedAt ?? -Infinity)) {
      found = upstream;
    }
  }
  return found;
}
