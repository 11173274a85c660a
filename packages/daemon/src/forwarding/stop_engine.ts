import { getPauseMs } from "../upstreams/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { claimPermit } from "./claim_permit.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";

/** A generation that an engine may still run though it was given up there. */
export interface LeftGeneration {
  readonly run: GenerationRun;
  /** The engine that may still run it. */
  readonly left: Upstream;
  /** The engine that runs it now. */
  readonly current: Upstream;
  readonly timeoutMs: number;
}

/**
 * Calls an engine to stop a generation over a new connection: closing its stream does not reach an
 * engine whose connection has fallen silent, and that engine would run on beside the other one.
 * Resolves to whether the engine has responded, or must not be called.
 */
export async function stopEngine(
  context: Pick<ForwardingContext, "clock" | "kvCache" | "limits" | "logger" | "upstreams">,
  { run, left, current, timeoutMs }: LeftGeneration,
): Promise<boolean> {
  const { request } = run;
  if (request.service.engine?.canMove !== true) {
    return true;
  }
  const permit = await claimPermit(context, {
    upstream: left,
    priority: FORWARDING_LIMITS.resumePriority,
    waitMs: timeoutMs,
    patientMs: timeoutMs,
  });
  const pauseMs = getPauseMs(context.upstreams, left.record, context.clock.readMonotonicMs());
  if (permit.type === "refused" || pauseMs > 0) {
    return true; // its own deadline ends the generation
  }
  if (run.upstream === left || run.resumingAt === left) {
    return true; // the generation has come back
  }
  const result = await context.kvCache.stopGeneration({
    sourceAddress: left.record.address,
    targetAddress: current.record.address,
    requestId: request.requestId,
    timeoutMs,
  });
  context.logger.writeEvent("engineStopped", {
    request: request.requestId,
    upstream: left.record.id,
    end: result.type === "failed" ? result.reason : result.type,
  });
  return result.type !== "failed";
}
