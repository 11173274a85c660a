import { ADMISSION_LIMITS } from "./constants.ts";
import type { OwnerState, RunningGeneration } from "./owner_state.ts";
import { projectEntry } from "./project_entry.ts";

/**
 * Projects the progress of every running generation from its last report, at the token gap of the
 * current batch size, because reports are too infrequent to rely on alone. One report interval
 * after the last report the projection stops: the generation is then assumed to be stalled.
 */
export function refreshProjections(state: OwnerState, nowMs: number): void {
  const gapMs = state.gaps.estimateGapMs(state.running.size);
  for (const [id, running] of state.running) {
    const produced = estimateProduced(running, gapMs, nowMs);
    state.running.set(id, {
      ...running,
      ...projectEntry(state, running.entry, produced),
      remainingTokens: state.predictor.predictRemaining({ ...running.entry, produced }),
    });
  }
}

function estimateProduced(running: RunningGeneration, gapMs: number, nowMs: number): number {
  // Before the first report the prompt may still wait for prefill, so no progress is assumed.
  if (running.produced === 0) {
    return 0;
  }
  const elapsedMs = Math.min(nowMs - running.lastProgressMs, ADMISSION_LIMITS.renewMs);
  return running.produced + Math.floor(elapsedMs / gapMs);
}
