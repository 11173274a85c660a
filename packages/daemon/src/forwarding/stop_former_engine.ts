import { getPauseMs, isSameIncarnation } from "../upstreams/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { claimPermit } from "./claim_permit.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import type { FormerEngine, StopCalls, StoppedGeneration } from "./former_engine.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun, GenerationStream } from "./generation_run.ts";
import { dropKeptCache } from "./drop_kept_cache.ts";
import { isCallable } from "./is_callable.ts";
import { waitFor } from "./wait_for.ts";

/** Options of {@link stopFormerEngine}. */
export interface StopOptions {
  /** The engine that may run the generation. */
  readonly left: Upstream;
  /** Its response stream. */
  readonly stream: GenerationStream | undefined;
  /** The engine that is to run it next, and receives the rest of its KV cache. */
  readonly target: Upstream;
  /** Time to wait for the engine's response. */
  readonly waitMs: number;
  /** The same time for an engine that must not be called for now. */
  readonly restingWaitMs?: number;
  /**
   * The generation goes on elsewhere in any case: the engine is told again after that time, until it
   * responds, it is gone, or the deadline of the request has passed.
   */
  readonly isFinal: boolean;
}

/**
 * Stops a generation at an engine before it goes on at another one. The call uses a new connection:
 * whatever happened to the host's end of the stream does not show that the engine has noticed.
 */
export async function stopFormerEngine(
  context: ForwardingContext,
  run: GenerationRun,
  options: StopOptions,
): Promise<FormerEngine> {
  const { left, stream, waitMs, restingWaitMs = 0, isFinal } = options;
  if (run.stopped !== undefined && stream === run.stream) {
    return run.stopped;
  }
  if (run.request.service.engine?.canMove !== true) {
    return { type: "notStoppable", reason: "the service has no call to stop a generation" };
  }
  if (stream?.stopCalls !== undefined) {
    return stream.stopCalls.latest; // they go on
  }
  const startMs = context.clock.readMonotonicMs();
  const calls: StopCalls = {
    latest: { type: "unreachable", reason: `no response within ${waitMs} ms` },
    isAwaited: true,
  };
  if (stream !== undefined) {
    stream.isStopping = true;
    stream.stopCalls = isFinal ? calls : undefined;
  }
  const settled = new Promise<void>((resolve) => {
    callUntilStopped(context, run, { ...options, calls, settle: resolve }).catch(run.reportFault);
  });
  const waitForCalls = (delayMs: number) =>
    Promise.race([settled, waitFor(context.clock, delayMs)]);
  await waitForCalls(waitMs);
  if (calls.latest.type === "resting" && restingWaitMs > waitMs) {
    await waitForCalls(restingWaitMs - waitMs);
  }
  calls.isAwaited = false;
  const former = calls.latest;
  if (former.type === "stopped" && stream === run.stream) {
    run.stopped = former;
  }
  context.metrics.increment("forwarding.stops", 1, { end: former.type });
  context.logger.writeEvent("formerEngineLeft", {
    request: run.request.requestId,
    upstream: left.record.id,
    end: former.type,
    reason: former.type === "stopped" ? "none" : former.reason,
    hasCache: former.type === "stopped" && former.cache !== undefined,
    tookMs: Math.round(context.clock.readMonotonicMs() - startMs),
  });
  return former;
}

interface CallOptions extends StopOptions {
  readonly calls: StopCalls;
  /** Called when the generation has nothing more to wait for. */
  readonly settle: () => void;
}

async function callUntilStopped(
  context: ForwardingContext,
  run: GenerationRun,
  options: CallOptions,
): Promise<void> {
  const { left, stream, isFinal, calls, settle } = options;
  const { upstreams, clock } = context;
  const isOver = () => {
    const known = upstreams.upstreams.get(left.record.id);
    const isGone = known === undefined || known.status === "gone" ||
      !isSameIncarnation(known.record, left.record);
    const hasReturned = run.resumingAt?.record.id === left.record.id ||
      (run.phase === "running" && run.upstream?.record.id === left.record.id &&
        run.stream !== stream);
    return isGone || hasReturned || clock.readMonotonicMs() >= run.request.deadlineAtMs ||
      !(isFinal || calls.isAwaited);
  };
  let delayMs: number = FORWARDING_LIMITS.stopRetryMs;
  for (let failures = 0;;) {
    const former = await callOnce(context, run, options);
    calls.latest = former;
    failures += Number(former.type === "unreachable");
    // One refused connection may be a link's fault; after the second, the engine has most likely ended.
    if (former.type !== "resting" && (former.type !== "unreachable" || failures > 1)) {
      settle();
    }
    if (former.type === "stopped" && !calls.isAwaited) {
      recordLateStop(context, run, former);
    }
    const isRepeated = former.type === "unreachable" || former.type === "resting";
    if (!isRepeated || isOver()) {
      settle();
      return;
    }
    await waitFor(clock, delayMs);
    delayMs = Math.min(delayMs * 2, FORWARDING_LIMITS.maxStopRetryMs);
    if (isOver()) {
      settle();
      return;
    }
  }
}

async function callOnce(
  context: ForwardingContext,
  run: GenerationRun,
  { left, target, waitMs }: StopOptions,
): Promise<FormerEngine> {
  if (!isCallable(context, left)) {
    return { type: "evacuated", reason: "its data centre is evacuated" };
  }
  const permit = await claimPermit(context, {
    upstream: left,
    priority: FORWARDING_LIMITS.resumePriority,
    waitMs,
    patientMs: waitMs,
  });
  if (
    permit.type === "refused" ||
    getPauseMs(context.upstreams, left.record, context.clock.readMonotonicMs()) > 0
  ) {
    return { type: "resting", reason: "it asks for a pause or has reached its limit" };
  }
  const result = await context.kvCache.stopGeneration({
    sourceAddress: left.record.address,
    targetAddress: target.record.address,
    requestId: run.request.requestId,
    timeoutMs: FORWARDING_LIMITS.stopTimeoutMs,
  });
  if (result.type === "failed") {
    return { type: "unreachable", reason: result.reason };
  }
  const handle = result.type === "stopped" ? result.handle : undefined;
  return {
    type: "stopped",
    upstream: left,
    cache: handle === undefined ? undefined : { address: left.record.address, handle },
    copiedTo: result.type === "stopped" && result.isCopied ? target : undefined,
  };
}

/** Records a stop after the generation has gone on elsewhere, and frees the KV cache left over. */
function recordLateStop(
  context: ForwardingContext,
  run: GenerationRun,
  { upstream, cache }: StoppedGeneration,
): void {
  context.logger.writeEvent("engineStopped", {
    request: run.request.requestId,
    upstream: upstream.record.id,
    end: cache === undefined ? "absent" : "stopped",
  });
  dropKeptCache(context, run, cache);
}
