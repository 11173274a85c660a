import { createFixedPredictor } from "../create_fixed_predictor.ts";
import { decideOwner } from "../decide_owner.ts";
import type { LoadReport } from "../load_report.ts";
import type { OwnerEffect } from "../owner_effect.ts";
import type { OwnerEvent } from "../owner_event.ts";
import { createOwnerState } from "../owner_state.ts";
import type { OwnerState } from "../owner_state.ts";

/** An owner of an engine with 1,000 tokens of memory that predicts 100 tokens for each response. */
export interface TestOwner {
  readonly state: OwnerState;
  /** Applies an event and renders the effects, for example `grant a`. */
  apply(event: OwnerEvent, nowMs?: number): string[];
}

const IDLE: LoadReport = {
  running: 0,
  waiting: 0,
  usedTokens: 0,
  capacityTokens: 1_000,
  preemptions: 0,
  leaving: false,
};

/** Creates a test owner that has received an idle load report with changes, or no report. */
export function createTestOwner(report: Partial<LoadReport> | "none" = {}): TestOwner {
  const state = createOwnerState({
    upstream: "plan-1",
    maxBatch: 16,
    capacityTokens: 1_000,
    predictor: createFixedPredictor(100),
    nowMs: 0,
  });
  const apply = (event: OwnerEvent, nowMs = 0) =>
    decideOwner(state, event, nowMs).map(describeEffect);
  if (report !== "none") {
    apply({ type: "report", report: { ...IDLE, ...report } });
  }
  return { state, apply };
}

function describeEffect(effect: OwnerEffect): string {
  return effect.type === "refuse"
    ? `refuse ${effect.id} ${effect.reason}`
    : `${effect.type} ${effect.id}`;
}
