import type { KvCacheSource } from "../adapters/deployment_dialect.ts";
import type { Upstream } from "../upstreams/mod.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";

/** An upstream that can resume a generation, and the handle of the KV cache that it holds. */
export interface BackupCopy {
  readonly upstream: Upstream;
  readonly source: KvCacheSource;
}

/** Finds the backup copy of a generation's KV cache, which is updated while it runs. */
export function findBackupCopy(
  context: Pick<ForwardingContext, "upstreams">,
  run: GenerationRun,
): BackupCopy | undefined {
  const upstream = context.upstreams.upstreams.get(run.inFlight?.copyUpstreamId ?? "");
  if (upstream === undefined || upstream.status === "gone") {
    return undefined;
  }
  const source = { address: upstream.record.address, handle: run.request.requestId };
  return { upstream, source };
}
