import type { KvCacheSource } from "../adapters/deployment_dialect.ts";
import { isEvacuated } from "../upstreams/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";

/** An upstream that can resume a generation, and the handle of the KV cache that it holds. */
export interface BackupCopy {
  readonly upstream: Upstream;
  readonly source: KvCacheSource;
}

/**
 * Finds the backup copy of a generation's KV cache, which is updated while it runs. One in an
 * evacuated data centre is of no use: the generation must not resume there.
 */
export function findBackupCopy(
  context: Pick<ForwardingContext, "upstreams">,
  run: GenerationRun,
): BackupCopy | undefined {
  const upstream = context.upstreams.upstreams.get(run.inFlight?.copyUpstreamId ?? "");
  if (
    upstream === undefined || upstream.status === "gone" ||
    isEvacuated(context.upstreams, upstream.record)
  ) {
    return undefined;
  }
  const source = { address: upstream.record.address, handle: run.request.requestId };
  return { upstream, source };
}
