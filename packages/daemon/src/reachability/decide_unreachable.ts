import { REACHABILITY_LIMITS } from "./constants.ts";
import type { ServiceReachability } from "./service_reachability.ts";

/**
 * Decides whether a service is unreachable from this host: its connections to several upstreams have
 * failed, or to all if there are fewer, and none has succeeded since. One crashed upstream does not
 * count.
 */
export function decideUnreachable(
  { failures }: Pick<ServiceReachability, "failures">,
  upstreamIds: readonly string[],
  nowMs: number,
): boolean {
  const failed = upstreamIds.filter((id) => {
    const failedAtMs = failures.get(id);
    return failedAtMs !== undefined && nowMs - failedAtMs <= REACHABILITY_LIMITS.failureMemoryMs;
  });
  return failed.length >= Math.min(REACHABILITY_LIMITS.minFailedUpstreams, upstreamIds.length) &&
    failed.length > 0;
}
