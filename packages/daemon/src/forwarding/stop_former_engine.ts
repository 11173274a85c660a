import { getPauseMs } from "../upstreams/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { claimPermit } from "./claim_permit.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import { waitFor } from "./wait_for.ts";

/** A generation that has changed its engine. */
export interface TakenOverGeneration {
  readonly request: ForwardedRequest;
  /** The engine that ran it before. */
  readonly former: Upstream;
  /** The engine that runs it now. */
  readonly current: Upstream;
}

/**
 * Stops a generation at its former engine. Closing its stream does not reach an engine whose
 * connection has fallen silent; that engine would run on beside the other one.
 */
export async function stopFormerEngine(
  context: Pick<ForwardingContext, "clock" | "kvCache" | "limits" | "logger" | "upstreams">,
  { request, former, current }: TakenOverGeneration,
): Promise<void> {
  await waitFor(context.clock, FORWARDING_LIMITS.closeNoticeMs);
  const permit = await claimPermit(context, {
    upstream: former,
    priority: FORWARDING_LIMITS.resumePriority,
    waitMs: FORWARDING_LIMITS.movePermitTimeoutMs,
    patientMs: FORWARDING_LIMITS.movePermitTimeoutMs,
  });
  const pauseMs = getPauseMs(context.upstreams, former.record, context.clock.readMonotonicMs());
  if (permit.type === "refused" || pauseMs > 0) {
    return; // the engine takes no call now; its own deadline ends the generation
  }
  const result = await context.kvCache.stopGeneration({
    sourceAddress: former.record.address,
    targetAddress: current.record.address,
    requestId: request.requestId,
    timeoutMs: FORWARDING_LIMITS.cacheCopyTimeoutMs,
  });
  context.logger.writeEvent("formerEngineStopped", {
    request: request.requestId,
    upstream: former.record.id,
    end: result.type === "failed" ? result.reason : result.type,
  });
}
