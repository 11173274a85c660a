import { ADMISSION_LIMITS } from "./constants.ts";
import type { OwnerState, RunningGeneration } from "./owner_state.ts";
import { projectEntry } from "./project_entry.ts";

/**
 * Projects every running generation forward from its last report, at the token gap of the present
 * batch; reports are too rare to go by alone. Without a report for longer than they take to come,
 * the generation counts as stalled there.
 */
export function refreshProjections(state: OwnerState, nowMs: number): void {
  const gapMs = state.gaps.estimateGapMs(state.running.size);
  for (const [id, running] of state.running) {
    const produced = estimateProduced(running, gapMs, nowMs);
    state.running.set(id, {
      ...running,
      ...projectEntry(state, running.entry, produced),
      restTokens: state.predictor.predictRest({ ...running.entry, produced }),
    });
  }
}

function estimateProduced(running: RunningGeneration, gapMs: number, nowMs: number): number {
  // Before the first report it may wait for its prompt, so nothing is assumed.
  if (running.produced === 0) {
    return 0;
  }
  const elapsedMs = Math.min(nowMs - running.notedMs, ADMISSION_LIMITS.renewMs);
  return running.produced + Math.floor(elapsedMs / gapMs);
}
