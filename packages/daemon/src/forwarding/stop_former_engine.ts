import { getPauseMs, isSameIncarnation } from "../upstreams/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { claimPermit } from "./claim_permit.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import { dropKeptCache } from "./drop_kept_cache.ts";
import type { FormerEngine, StopCalls } from "./former_engine.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun, GenerationStream } from "./generation_run.ts";
import { isCallable } from "./is_callable.ts";
import { waitFor } from "./wait_for.ts";

/** Options of {@link stopFormerEngine}. */
export interface StopOptions {
  /** The engine that may run the generation. */
  readonly left: Upstream;
  /** Its response stream, which has failed or is given up. */
  readonly stream: GenerationStream;
  /** The engine that is to run it next, and receives the rest of its KV cache. */
  readonly target: Upstream;
  /** Time to wait for an engine that lives but cannot be told for now. */
  readonly untoldWaitMs?: number;
  /** A permit for the first call has been claimed. */
  readonly hasPermit?: boolean;
  /** The request may still wait at the engine, which then knows of no such generation. */
  readonly mayStartLate?: boolean;
}

/**
 * Stops a generation at an engine that it leaves. The call uses a new connection: whatever happened
 * to the host's end of the stream does not show that the engine has noticed. Resolves as soon as the
 * generation need not wait any longer; an engine that has not confirmed is told again until it
 * responds, it is gone, or the deadline of the request has passed.
 */
export async function stopFormerEngine(
  context: ForwardingContext,
  run: GenerationRun,
  options: StopOptions,
): Promise<FormerEngine> {
  const { left, stream, untoldWaitMs = 0 } = options;
  if (run.request.service.engine?.canMove !== true) {
    return { type: "notStoppable", reason: "the service has no call to stop a generation" };
  }
  if (stream.stopCalls !== undefined) {
    return stream.stopCalls.latest; // they go on
  }
  const startMs = context.clock.readMonotonicMs();
  const calls: StopCalls = {
    latest: {
      type: "unreachable",
      reason: `no response within ${FORWARDING_LIMITS.stopWaitMs} ms`,
    },
    isAwaited: true,
  };
  stream.stopCalls = calls;
  const settled = new Promise<void>((resolve) => {
    callUntilStopped(context, run, { ...options, calls, settle: resolve }).catch((error) => {
      run.reportFault(error);
      resolve();
    });
  });
  const waitForCalls = (delayMs: number) =>
    Promise.race([settled, waitFor(context.clock, delayMs)]);
  await waitForCalls(FORWARDING_LIMITS.stopWaitMs);
  if (calls.latest.type === "untold" && untoldWaitMs > FORWARDING_LIMITS.stopWaitMs) {
    await waitForCalls(untoldWaitMs - FORWARDING_LIMITS.stopWaitMs);
  }
  calls.isAwaited = false;
  const former = calls.latest;
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
  const { left, calls, settle } = options;
  const isGone = () => isEngineGone(context, left);
  const isOver = () => isGone() || isStopOver(context, run, options);
  let delayMs: number = FORWARDING_LIMITS.stopRetryMs;
  let lateCalls = options.mayStartLate === true ? FORWARDING_LIMITS.maxLateStopCalls : 0;
  for (let failures = 0; !(failures > 0 && isOver());) {
    const former = await callOnce(context, run, { ...options, isFirst: failures === 0, isOver });
    if (former === undefined) {
      break;
    }
    calls.latest = former;
    if (former.type === "stopped" && !calls.isAwaited) {
      context.logger.writeEvent("engineStopped", {
        request: run.request.requestId,
        upstream: left.record.id,
        end: former.cache === undefined ? "absent" : "stopped",
      });
      calls.latest = { ...former, cache: undefined, copiedTo: undefined };
      dropKeptCache(context, run, former.cache);
    }
    const isAbsent = former.type === "stopped" && former.cache === undefined;
    if (former.type === "stopped" && !(isAbsent && lateCalls-- > 0)) {
      break;
    }
    failures++;
    // One refused connection may be a link's fault; after the second, the engine has most likely ended.
    if (former.type === "stopped" || (former.type === "unreachable" && failures > 1)) {
      settle();
    }
    await waitFor(context.clock, delayMs);
    delayMs = Math.min(delayMs * 2, FORWARDING_LIMITS.maxStopRetryMs);
  }
  if (calls.latest.type === "untold" && isGone()) {
    calls.latest = { type: "unreachable", reason: "it has ended" };
  }
  settle();
}

function isEngineGone(
  { upstreams }: Pick<ForwardingContext, "upstreams">,
  left: Upstream,
): boolean {
  const known = upstreams.upstreams.get(left.record.id);
  return known === undefined || known.status === "gone" ||
    !isSameIncarnation(known.record, left.record);
}

/** Whether the engine need not be told again: the generation has come back, or its time is over. */
function isStopOver(
  { clock }: Pick<ForwardingContext, "clock">,
  run: GenerationRun,
  { left, stream }: StopOptions,
): boolean {
  const hasReturned = run.resumingAt?.record.id === left.record.id ||
    (run.phase === "running" && run.upstream?.record.id === left.record.id &&
      run.stream !== stream);
  return hasReturned || clock.readMonotonicMs() >= run.request.deadlineAtMs;
}

interface CallOnceOptions extends StopOptions {
  readonly isFirst: boolean;
  readonly isOver: () => boolean;
}

/** Calls the engine; undefined if it need not be told any more after a wait for the permit. */
async function callOnce(
  context: ForwardingContext,
  run: GenerationRun,
  options: CallOnceOptions,
): Promise<FormerEngine | undefined> {
  const { left, target, isFirst, isOver } = options;
  const reason = await findObstacle(context, left, isFirst && options.hasPermit === true);
  if (reason !== undefined) {
    // A connection without a request tells an engine that must not be called from one that has ended.
    const isAlive = await context.probeConnection(left.record.address, {
      timeoutMs: FORWARDING_LIMITS.stopWaitMs / 2,
      holdMs: FORWARDING_LIMITS.probeHoldMs,
    });
    return { type: isAlive ? "untold" : "unreachable", reason };
  }
  if (!isFirst && isOver()) {
    return undefined;
  }
  const result = await context.kvCache.stopGeneration({
    sourceAddress: left.record.address,
    targetAddress: target.record.address,
    requestId: run.request.requestId,
    timeoutMs: FORWARDING_LIMITS.stopTimeoutMs,
  });
  switch (result.type) {
    case "stopped":
      return {
        type: "stopped",
        cache: { address: left.record.address, handle: result.handle },
        copiedTo: result.isCopied ? target : undefined,
      };
    case "absent":
      return { type: "stopped", cache: undefined, copiedTo: undefined };
    case "refused":
      return { type: "untold", reason: result.reason };
    case "failed":
      return { type: "unreachable", reason: result.reason };
  }
}

/** Finds the reason why an engine must not be called now; undefined if it may be. */
async function findObstacle(
  context: ForwardingContext,
  left: Upstream,
  hasPermit: boolean,
): Promise<string | undefined> {
  if (!isCallable(context, left)) {
    return "its data centre is evacuated";
  }
  const nowMs = context.clock.readMonotonicMs();
  if (getPauseMs(context.upstreams, left.record, nowMs) > 0) {
    return "it asks for a pause";
  }
  if (hasPermit) {
    return undefined;
  }
  const permit = await claimPermit(context, {
    upstream: left,
    priority: FORWARDING_LIMITS.resumePriority,
    waitMs: FORWARDING_LIMITS.stopWaitMs,
    patientMs: FORWARDING_LIMITS.stopWaitMs,
  });
  return permit.type === "refused" ? "it has reached the limit that it names" : undefined;
}
