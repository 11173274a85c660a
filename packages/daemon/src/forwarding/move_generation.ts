import type { MemorySource } from "../adapters/deployment_dialect.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { checkBudget } from "./check_budget.ts";
import { chooseGenerationUpstream } from "./choose_generation_upstream.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import { findCopy } from "./find_copy.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun, GenerationStream } from "./generation_run.ts";
import { resumeGeneration } from "./resume_generation.ts";
import { sendEvent } from "./send_event.ts";
import { waitFor } from "./wait_for.ts";

/**
 * Takes a running generation away from an upstream that leaves: to the copy that another upstream
 * keeps, else by copying its memory. It runs on at its source until the other upstream goes on, so a
 * step that fails costs nothing. Resolves when it goes on elsewhere or no way is left.
 */
export async function moveGeneration(
  context: ForwardingContext,
  run: GenerationRun,
): Promise<void> {
  if (run.isMoving || run.phase !== "running" || run.flight?.isReading !== false) {
    return;
  }
  const canMove = run.request.service.engine?.canMove === true;
  if (!canMove && findCopy(context, run) === undefined) {
    return; // it stays with its engine to the end
  }
  run.isMoving = true;
  try {
    const hasSwitched = await tryCopy(context, run);
    const hasMoved = hasSwitched || (canMove && await moveMemory(context, run));
    const end = hasSwitched ? "fromCopy" : hasMoved ? "copied" : "failed";
    context.metrics.increment("forwarding.moves", 1, { end });
  } finally {
    run.isMoving = false;
  }
}

/** Asks the upstream that keeps a copy; a young copy is still on its way and is asked again. */
async function tryCopy(context: ForwardingContext, run: GenerationRun): Promise<boolean> {
  const startMs = context.clock.readMonotonicMs();
  for (;;) {
    const copy = findCopy(context, run);
    if (run.phase !== "running" || copy?.upstream.status !== "ready") {
      return false;
    }
    if (await tryUpstream(context, run, copy.upstream, copy.source, "copy")) {
      return true;
    }
    if (context.clock.readMonotonicMs() - startMs >= FORWARDING_LIMITS.copyPatienceMs) {
      return false;
    }
    await waitFor(context.clock, FORWARDING_LIMITS.copyRetryMs);
  }
}

async function moveMemory(context: ForwardingContext, run: GenerationRun): Promise<boolean> {
  const source = run.upstream;
  const excluded = new Set<string>();
  for (let tries = 0; tries < FORWARDING_LIMITS.maxMoveTargets;) {
    if (run.phase !== "running" || source === undefined || run.flight === undefined) {
      return run.phase === "ended";
    }
    const target = chooseGenerationUpstream(context, {
      request: run.request,
      purpose: "move",
      flight: run.flight,
      excluded: new Set([...excluded, source.record.id]),
      nearDataCentre: source.record.dataCentre,
    })?.upstream;
    if (target === undefined) {
      excluded.clear(); // what failed once may work the next time
      await waitFor(context.clock, FORWARDING_LIMITS.moveRetryMs);
      continue;
    }
    tries++;
    if (await moveTo(context, run, source, target)) {
      return true;
    }
    excluded.add(target.record.id);
    await waitFor(context.clock, FORWARDING_LIMITS.moveRetryMs);
  }
  return false;
}

/** Copies the memory to `target` while the generation runs on, and lets the target go on. */
async function moveTo(
  context: ForwardingContext,
  run: GenerationRun,
  source: Upstream,
  target: Upstream,
): Promise<boolean> {
  const { flight, request } = run;
  if (flight === undefined) {
    return false;
  }
  flight.copyUpstreamId = target.record.id;
  context.noteLoadAdded();
  noteStart(context, run, target, "move");
  const result = await context.memory.copyMemory({
    sourceAddress: source.record.address,
    targetAddress: target.record.address,
    requestId: request.requestId,
    timeoutMs: FORWARDING_LIMITS.copyTimeoutMs,
  });
  if (result.type !== "copied") {
    flight.copyUpstreamId = undefined;
    noteFailure(context, run, "copy", result.type === "failed" ? result.reason : result.type);
    return false;
  }
  const memory = { address: source.record.address, handle: result.handle };
  return run.phase === "ended" || await tryUpstream(context, run, target, memory, "move");
}

/** Asks an upstream to go on, holding back what the source still sends; true when it does. */
async function tryUpstream(
  context: ForwardingContext,
  run: GenerationRun,
  upstream: Upstream,
  source: MemorySource,
  way: "copy" | "move",
): Promise<boolean> {
  const { stream, request } = run;
  if (stream === undefined || run.phase !== "running") {
    return false;
  }
  if (way === "copy") {
    noteStart(context, run, upstream, way);
  }
  checkBudget(context, request.service.name).countRepeat();
  stream.held = [];
  run.phase = "switching";
  const isTaken = await new Promise<boolean>((resolve) => {
    stream.noteClosed = () => {
      if (stream.closed === "end") {
        resolve(true); // the source has sent the whole answer after all
      }
    };
    resumeGeneration(context, run, {
      upstream,
      source,
      way,
      timeoutMs: FORWARDING_LIMITS.resumeTimeoutMs,
      noteBegin: () => resolve(true),
      refuse: (reason) => {
        noteFailure(context, run, `go on at ${upstream.record.id}`, reason);
        resolve(false);
      },
    });
  });
  stream.noteClosed = undefined;
  if (!isTaken) {
    releaseHeld(context, run, stream);
  }
  return isTaken;
}

function releaseHeld(
  context: ForwardingContext,
  run: GenerationRun,
  stream: GenerationStream,
): void {
  if (run.phase === "ended") {
    return;
  }
  const held = stream.held ?? [];
  stream.held = undefined;
  run.phase = "running";
  held.forEach((event) => sendEvent(context, run, event));
  if (stream.closed === "fail") {
    run.restore("stream closed while another upstream was asked");
  }
}

function noteStart(
  context: ForwardingContext,
  run: GenerationRun,
  target: Upstream,
  way: string,
): void {
  context.logger.writeEvent("moveStarted", {
    request: run.request.requestId,
    way,
    from: run.upstream?.record.id ?? "none",
    to: target.record.id,
    events: run.sentEvents,
  });
}

function noteFailure(
  context: ForwardingContext,
  run: GenerationRun,
  step: string,
  reason: string,
): void {
  const upstream = run.upstream?.record.id ?? "none";
  context.logger.writeEvent("moveFailed", {
    request: run.request.requestId,
    upstream,
    step,
    reason,
  });
}
