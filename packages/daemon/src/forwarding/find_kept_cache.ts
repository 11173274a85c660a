import { getPauseMs } from "../upstreams/mod.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import type { BackupCopy } from "./find_backup_copy.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";
import { isCallable } from "./is_callable.ts";

/**
 * Finds the KV cache that the engine of a generation has kept when it stopped it. A draining engine
 * is returned to for a short time only: it ends soon, and gets no request late in its drain.
 */
export function findKeptCache(
  context: Pick<ForwardingContext, "upstreams" | "limits" | "clock">,
  { stopped }: Pick<GenerationRun, "stopped">,
): BackupCopy | undefined {
  if (stopped?.cache === undefined) {
    return undefined;
  }
  const { upstreams, limits, clock } = context;
  const nowMs = clock.readMonotonicMs();
  const upstream = upstreams.upstreams.get(stopped.upstream.record.id);
  const isTooLate = upstream?.status === "leaving" &&
    nowMs - upstream.sinceMs >= FORWARDING_LIMITS.maxReturnMs;
  if (
    upstream === undefined || upstream.status === "gone" || isTooLate ||
    !isCallable(context, upstream) || getPauseMs(upstreams, upstream.record, nowMs) > 0 ||
    limits.getLimit(upstream.record) !== undefined
  ) {
    return undefined;
  }
  return { upstream, source: stopped.cache };
}
