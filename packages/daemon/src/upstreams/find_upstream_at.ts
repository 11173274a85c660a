import type { Upstream, UpstreamState } from "./upstream_state.ts";

/** Finds the upstream at an address; the one whose status changed last, if several had it. */
export function findUpstreamAt(
  state: Pick<UpstreamState, "upstreams">,
  address: string,
): Upstream | undefined {
  let found: Upstream | undefined;
  for (const upstream of state.upstreams.values()) {
    const isCandidate = upstream.record.address === address && upstream.status !== "gone";
    if (isCandidate && (found === undefined || upstream.sinceMs > found.sinceMs)) {
      found = upstream;
    }
  }
  return found;
}
