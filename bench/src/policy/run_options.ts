import type { Fault } from "./fault.ts";
import type { KindFigures } from "./kind_figures.ts";
import type { PolicySpec } from "./policy_spec.ts";
import type { Scenario } from "./scenario.ts";

/** One run of one policy. */
export interface RunOptions {
  readonly scenario: Scenario;
  readonly policy: PolicySpec;
  readonly loadPercent: number;
  readonly fault: Fault;
  /** Share of the requests that declare their length, from 0 to 1. */
  readonly declaredShare: number;
  readonly durationMs: number;
  readonly seed: number;
}

/** Figures of one run. */
export interface RunResult {
  readonly scenario: string;
  readonly policy: string;
  readonly loadPercent: number;
  readonly fault: Fault;
  readonly declaredShare: number;
  readonly seed: number;
  readonly kinds: readonly KindFigures[];
  readonly fairness: number;
  /** Generations sent to a draining engine more than five seconds after it started to drain. */
  readonly sentToLeaving: number;
  /** Retries made by the simulated hosts. */
  readonly retries: number;
}
