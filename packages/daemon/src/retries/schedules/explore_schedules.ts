import type { RequestKind } from "../../routes/mod.ts";
import type { AttemptOutcome } from "../attempt_outcome.ts";
import { RETRY_LIMITS } from "../constants.ts";
import type { AttemptHistory, RetryDecision } from "../decide_retry.ts";

/** What happens to one attempt at the upstream, and the outcome that the host observes. */
interface AttemptCase {
  readonly name: string;
  readonly outcome: AttemptOutcome;
  /** The upstream executes it before or after the host decides. */
  readonly runs: boolean;
}

const ATTEMPT_CASES: readonly AttemptCase[] = [
  { name: "connection refused", outcome: "notSent", runs: false },
  { name: "refused, stated as not executed", outcome: "refused", runs: false },
  { name: "executed and answered", outcome: "answered", runs: true },
  { name: "executed and failed", outcome: "failed", runs: true },
  { name: "executed, response lost", outcome: "broken", runs: true },
  { name: "no response, executed after the decision", outcome: "broken", runs: true },
  { name: "lost in transit, never executed", outcome: "broken", runs: false },
  { name: "response to another request", outcome: "broken", runs: true },
];

/** A schedule that violates an invariant. */
export interface ScheduleFault {
  /**
   * `TWICE`: a non-repeatable request may be executed twice; `REFUSED`: a request that may have
   * been executed is reported as not executed; `BUDGET`: a retry exceeds a limit or the budget;
   * `MIXED`: the result does not match the response; `LATE`: a retry starts too close to the
   * deadline; `CRASHING`: a quarantined request is retried.
   */
  readonly invariant: "TWICE" | "REFUSED" | "BUDGET" | "MIXED" | "LATE" | "CRASHING";
  readonly schedule: readonly string[];
}

/** Result of an exploration. */
export interface ScheduleExploration {
  readonly schedules: number;
  readonly faults: readonly ScheduleFault[];
}

/** A decision under test; {@link decideRetry} or a mutation of it. */
export type RetryRule = (history: AttemptHistory) => RetryDecision;

const KINDS: readonly RequestKind[] = ["repeatable", "once", "stream"];
const MAX_ATTEMPTS = [1, 2, 3];
/** Remaining times just too short and long enough for another attempt. */
const LEFT_MS = [RETRY_LIMITS.minLeftMs - 1, 500];
/** More attempts than any rule allows; ends a schedule that would otherwise not end. */
const MAX_SENDS = 8;

interface PartialSchedule {
  readonly kind: RequestKind;
  readonly maxAttempts: number;
  readonly hasBudget: boolean;
  readonly isQuarantined: boolean;
  readonly leftMs: number;
  /** Cases of the attempts so far. */
  readonly worlds: readonly AttemptCase[];
}

/** Explores every schedule of one request by `rule`; each attempt may end in any way. */
export function exploreSchedules(rule: RetryRule): ScheduleExploration {
  const faults: ScheduleFault[] = [];
  let schedules = 0;

  const explore = (partial: PartialSchedule) => {
    for (const attempt of ATTEMPT_CASES) {
      const worlds = [...partial.worlds, attempt];
      const unexecuted = worlds.filter(({ outcome }) =>
        outcome === "notSent" || outcome === "refused"
      );
      const decision = rule({
        kind: partial.kind,
        outcome: attempt.outcome,
        executedAttempts: worlds.length - unexecuted.length,
        unexecutedAttempts: unexecuted.length,
        maxAttempts: partial.maxAttempts,
        hasBudget: partial.hasBudget,
        isQuarantined: partial.isQuarantined,
        leftMs: partial.leftMs,
      });
      const step = { ...partial, worlds };
      const violations = listViolations(step, decision);
      const names = [`${partial.kind}, ${partial.maxAttempts} attempts`];
      const schedule = [...names, ...worlds.map(({ name }) => name), decision];
      violations.forEach((invariant) => faults.push({ invariant, schedule }));
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
  partial: PartialSchedule,
  decision: RetryDecision,
): ScheduleFault["invariant"][] {
  const { worlds, kind } = partial;
  const runs = worlds.filter((attempt) => attempt.runs).length;
  const mayHaveExecuted = worlds.some(({ outcome }) =>
    outcome !== "notSent" && outcome !== "refused"
  );
  const last = worlds.at(-1);
  const isComplete = last?.outcome === "answered" || last?.outcome === "failed";
  const violations: ScheduleFault["invariant"][] = [];
  if (kind !== "repeatable" && (runs > 1 || (decision === "retry" && mayHaveExecuted))) {
    violations.push("TWICE");
  }
  if (decision === "notRun" && mayHaveExecuted) {
    violations.push("REFUSED");
  }
  if (decision === "passOn" && !isComplete) {
    violations.push("MIXED");
  }
  if (decision !== "passOn" && last?.outcome === "answered") {
    violations.push("MIXED");
  }
  if (decision !== "retry") {
    return violations;
  }
  const unexecutedCount = worlds.length -
    worlds.filter(({ outcome }) => outcome !== "notSent" && outcome !== "refused").length;
  const isOverAttemptLimit = worlds.length - unexecutedCount >= partial.maxAttempts &&
    last?.outcome !== "notSent" &&
    last?.outcome !== "refused";
  const isOverBudget = !partial.hasBudget && last?.outcome !== "notSent";
  if (isOverAttemptLimit || isOverBudget || unexecutedCount >= RETRY_LIMITS.maxUnexecutedAttempts) {
    violations.push("BUDGET");
  }
  if (partial.isQuarantined) {
    violations.push("CRASHING");
  }
  if (partial.leftMs < RETRY_LIMITS.minLeftMs) {
    violations.push("LATE");
  }
  return violations;
}
