import type { RequestKind } from "../../routes/mod.ts";
import type { AttemptOutcome } from "../attempt_outcome.ts";
import { RETRY_LIMITS } from "../constants.ts";
import type { AttemptHistory, RetryDecision } from "../decide_retry.ts";

/** What happens to one attempt at the upstream, and the outcome that the host observes. */
interface AttemptCase {
  readonly name: string;
  readonly outcome: AttemptOutcome;
  /** Whether the upstream executes it, before or after the host's decision. */
  readonly isExecuted: boolean;
}

const ATTEMPT_CASES: readonly AttemptCase[] = [
  { name: "connection refused", outcome: "notSent", isExecuted: false },
  { name: "refused, stated as not executed", outcome: "refused", isExecuted: false },
  { name: "executed and answered", outcome: "answered", isExecuted: true },
  { name: "executed and failed", outcome: "failed", isExecuted: true },
  { name: "executed, response lost", outcome: "broken", isExecuted: true },
  { name: "no response, executed after the decision", outcome: "broken", isExecuted: true },
  { name: "lost in transit, never executed", outcome: "broken", isExecuted: false },
  { name: "response to another request", outcome: "broken", isExecuted: true },
];

/** A schedule that violates an invariant. */
export interface ScheduleFault {
  /**
   * `executedTwice`: a non-repeatable request may be executed twice; `reportedNotExecuted`: a
   * request that may have been executed is reported as not executed; `limitExceeded`: a retry
   * exceeds a limit or the budget; `resultMismatch`: the result does not match the response;
   * `tooLate`: a retry starts too close to the deadline; `quarantineIgnored`: a quarantined request
   * is retried.
   */
  readonly violation:
    | "executedTwice"
    | "reportedNotExecuted"
    | "limitExceeded"
    | "resultMismatch"
    | "tooLate"
    | "quarantineIgnored";
  readonly schedule: readonly string[];
}

/** Result of an exploration. */
export interface ScheduleExploration {
  readonly schedules: number;
  readonly faults: readonly ScheduleFault[];
}

/** A retry rule under test: {@link decideRetry} or a mutation of it. */
export type RetryRule = (history: AttemptHistory) => RetryDecision;

const KINDS: readonly RequestKind[] = ["repeatable", "once", "stream"];
const MAX_ATTEMPTS = [1, 2, 3];
/** Remaining times: one just too short for another attempt, and one long enough. */
const LEFT_MS = [RETRY_LIMITS.minLeftMs - 1, 500];
/** More attempts than any rule allows; ends a schedule that would otherwise not end. */
const MAX_SENDS = 8;

interface ScheduleState {
  readonly kind: RequestKind;
  readonly maxAttempts: number;
  readonly hasBudget: boolean;
  readonly isQuarantined: boolean;
  readonly leftMs: number;
  /** Cases of the attempts so far. */
  readonly worlds: readonly AttemptCase[];
}

/**
 * Explores every schedule of one request that is retried as `rule` decides; each attempt may end in
 * any way.
 */
export function exploreSchedules(rule: RetryRule): ScheduleExploration {
  const faults: ScheduleFault[] = [];
  let schedules = 0;

  const explore = (state: ScheduleState) => {
    for (const attempt of ATTEMPT_CASES) {
      const worlds = [...state.worlds, attempt];
      const knownUnexecuted = worlds.filter(({ outcome }) =>
        outcome === "notSent" || outcome === "refused"
      );
      const decision = rule({
        kind: state.kind,
        outcome: attempt.outcome,
        executedAttempts: worlds.length - knownUnexecuted.length,
        unexecutedAttempts: knownUnexecuted.length,
        maxAttempts: state.maxAttempts,
        hasBudget: state.hasBudget,
        isQuarantined: state.isQuarantined,
        leftMs: state.leftMs,
      });
      const step = { ...state, worlds };
      const violations = listViolations(step, decision);
      const heading = [`${state.kind}, ${state.maxAttempts} attempts`];
      const schedule = [...heading, ...worlds.map(({ name }) => name), decision];
      violations.forEach((violation) => faults.push({ violation, schedule }));
      if (decision === "retry" && worlds.length < MAX_SENDS && violations.length === 0) {
        explore(step);
      } else {
        schedules++;
      }
    }
  };
  for (const kind of KINDS) {
    for (const maxAttempts of MAX_ATTEMPTS) {
      for (const hasBudget of [false, true]) {
        for (const isQuarantined of [false, true]) {
          LEFT_MS.forEach((leftMs) =>
            explore({ kind, maxAttempts, hasBudget, isQuarantined, leftMs, worlds: [] })
          );
        }
      }
    }
  }
  return { schedules, faults };
}

function listViolations(
  state: ScheduleState,
  decision: RetryDecision,
): ScheduleFault["violation"][] {
  const { worlds, kind } = state;
  const executionCount = worlds.filter((attempt) => attempt.isExecuted).length;
  const mayHaveExecuted = worlds.some(({ outcome }) =>
    outcome !== "notSent" && outcome !== "refused"
  );
  const last = worlds.at(-1);
  const isComplete = last?.outcome === "answered" || last?.outcome === "failed";
  const violations: ScheduleFault["violation"][] = [];
  if (kind !== "repeatable" && (executionCount > 1 || (decision === "retry" && mayHaveExecuted))) {
    violations.push("executedTwice");
  }
  if (decision === "notRun" && mayHaveExecuted) {
    violations.push("reportedNotExecuted");
  }
  if (decision === "relay" && !isComplete) {
    violations.push("resultMismatch");
  }
  if (decision !== "relay" && last?.outcome === "answered") {
    violations.push("resultMismatch");
  }
  if (decision !== "retry") {
    return violations;
  }
  const knownUnexecutedCount = worlds.length -
    worlds.filter(({ outcome }) => outcome !== "notSent" && outcome !== "refused").length;
  const isOverAttemptLimit = worlds.length - knownUnexecutedCount >= state.maxAttempts &&
    last?.outcome !== "notSent" &&
    last?.outcome !== "refused";
  const isOverBudget = !state.hasBudget && last?.outcome !== "notSent";
  if (
    isOverAttemptLimit || isOverBudget || knownUnexecutedCount >= RETRY_LIMITS.maxUnexecutedAttempts
  ) {
    violations.push("limitExceeded");
  }
  if (state.isQuarantined) {
    violations.push("quarantineIgnored");
  }
  if (state.leftMs < RETRY_LIMITS.minLeftMs) {
    violations.push("tooLate");
  }
  return violations;
}
