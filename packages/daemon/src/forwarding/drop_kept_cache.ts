import type { KvCacheSource } from "../adapters/deployment_dialect.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";

/** Frees the KV cache that an engine keeps of a generation that does not go on from it. */
export function dropKeptCache(
  context: Pick<ForwardingContext, "kvCache">,
  run: Pick<GenerationRun, "reportFault">,
  cache: KvCacheSource | undefined,
): void {
  if (cache === undefined) {
    return;
  }
  context.kvCache.freeKvCache({
    sourceAddress: cache.address,
    handle: cache.handle,
    timeoutMs: FORWARDING_LIMITS.stopTimeoutMs,
  }).catch(run.reportFault);
}
