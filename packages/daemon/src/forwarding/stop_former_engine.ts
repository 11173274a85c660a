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
 * connection has fallen silent; that engine would run on beside the other one. A call that fails is
 * repeated a few times, as connections may also be cut.
 */
export async function stopFormerEngine(
  context: Pick<ForwardingContext, "clock" | "kvCache" | "limits" | "logger" | "upstreams">,
  { request, former, current }: TakenOverGeneration,
): Promise<void> {
  let end = "pause or limit"; // the engine takes no call now; its own deadline ends the generation
  for (let tries = 0; tries < FORWARDING_LIMITS.maxStopTries; tries++) {
    await waitFor(context.clock, FORWARDING_LIMITS.closeNoticeMs * 2 ** tries);
    if (!await isCallable(context, former)) {
      break;
    }
    const result = await context.kvCache.stopGeneration({
      sourceAddress: former.record.address,
      targetAddress: current.record.address,
      requestId: request.requestId,
      timeoutMs: FORWARDING_LIMITS.stopTimeoutMs,
    });
    end = result.type === "failed" ? result.reason : result.type;
    if (result.type !== "failed") {
      break;
    }
  }
  context.logger.writeEvent("formerEngineStopped", {
    request: request.requestId,
    upstream: former.record.id,
    end,
  });
}

async function isCallable(
  context: Pick<ForwardingContext, "clock" | "limits" | "upstreams">,
  upstream: Upstream,
): Promise<boolean> {
  const permit = await claimPermit(context, {
    upstream,
    priority: FORWARDING_LIMITS.resumePriority,
    waitMs: FORWARDING_LIMITS.movePermitTimeoutMs,
    patientMs: FORWARDING_LIMITS.movePermitTimeoutMs,
  });
  const nowMs = context.clock.readMonotonicMs();
  return permit.type === "granted" && getPauseMs(context.upstreams, upstream.record, nowMs) === 0;
}
