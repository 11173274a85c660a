import type { RequestKind } from "../../routes/mod.ts";
import type { AttemptOutcome } from "../attempt_outcome.ts";
import { RETRY_LIMITS } from "../constants.ts";
import type { AttemptHistory, RetryDecision } from "../decide_retry.ts";

/** What really happens to one attempt, and what the host sees of it. */
interface AttemptWorld {
  readonly name: string;
  readonly outcome: AttemptOutcome;
  /** It has run when the host decides, or runs after that. */
  readonly runs: boolean;
}

const WORLDS: readonly AttemptWorld[] = [
  { name: "connection refused", outcome: "notSent", runs: false },
  { name: "refused by the upstream's word", outcome: "refused", runs: false },
  { name: "ran and answered", outcome: "answered", runs: true },
  { name: "ran and failed", outcome: "failed", runs: true },
  { name: "ran, answer lost", outcome: "broken", runs: true },
  { name: "silent, runs after the decision", outcome: "broken", runs: true },
  { name: "lost on the way, never runs", outcome: "broken", runs: false },
  { name: "answer of another request", outcome: "broken", runs: true },
];

/** A schedule that breaks an invariant. */
export interface ScheduleFault {
  readonly invariant: "TWICE" | "REFUSED" | "BUDGET" | "MIXED" | "LATE" | "CRASHING";
  readonly schedule: readonly string[];
}

/** What a walk found. */
export interface ScheduleWalk {
  readonly schedules: number;
  readonly faults: readonly ScheduleFault[];
}

/** A decision under test; {@link decideRetry} or a mutation of it. */
export type RetryRule = (history: AttemptHistory) => RetryDecision;

const KINDS: readonly RequestKind[] = ["repeatable", "once", "stream"];
const MAX_ATTEMPTS = [1, 2, 3];
/** Left times before and after which an attempt is pointless. */
const LEFT_MS = [RETRY_LIMITS.minLeftMs - 1, 500];
/** More sends than any rule allows; a walk that comes here never ends by itself. */
const MAX_SENDS = 8;

interface Walked {
  readonly kind: RequestKind;
  readonly maxAttempts: number;
  readonly hasBudget: boolean;
  readonly isQuarantined: boolean;
  readonly leftMs: number;
  readonly worlds: readonly AttemptWorld[];
}

/** Walks every schedule of one request over upstreams that may do anything, by `rule`. */
export function exploreSchedules(rule: RetryRule): ScheduleWalk {
  const faults: ScheduleFault[] = [];
  let schedules = 0;

  const walk = (walked: Walked) => {
    for (const world of WORLDS) {
      const worlds = [...walked.worlds, world];
      const sentUnrun = worlds.filter(({ outcome }) =>
        outcome === "notSent" || outcome === "refused"
      );
      const decision = rule({
        kind: walked.kind,
        outcome: world.outcome,
        ranAttempts: worlds.length - sentUnrun.length,
        unrunAttempts: sentUnrun.length,
        maxAttempts: walked.maxAttempts,
        hasBudget: walked.hasBudget,
        isQuarantined: walked.isQuarantined,
        leftMs: walked.leftMs,
      });
      const step = { ...walked, worlds };
      const found = listBroken(step, decision);
      const names = [`${walked.kind}, ${walked.maxAttempts} attempts`];
      const schedule = [...names, ...worlds.map(({ name }) => name), decision];
      found.forEach((invariant) => faults.push({ invariant, schedule }));
      if (decision === "retry" && worlds.length < MAX_SENDS && found.length === 0) {
        walk(step);
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
            walk({ kind, maxAttempts, hasBudget, isQuarantined, leftMs, worlds: [] })
          );
        }
      }
    }
  }
  return { schedules, faults };
}

function listBroken(walked: Walked, decision: RetryDecision): ScheduleFault["invariant"][] {
  const { worlds, kind } = walked;
  const runs = worlds.filter((world) => world.runs).length;
  const mayHaveRun = worlds.some(({ outcome }) => outcome !== "notSent" && outcome !== "refused");
  const last = worlds.at(-1);
  const isWhole = last?.outcome === "answered" || last?.outcome === "failed";
  const broken: ScheduleFault["invariant"][] = [];
  if (kind !== "repeatable" && (runs > 1 || (decision === "retry" && mayHaveRun))) {
    broken.push("TWICE");
  }
  if (decision === "notRun" && mayHaveRun) {
    broken.push("REFUSED");
  }
  if (decision === "passOn" && !isWhole) {
    broken.push("MIXED");
  }
  if (decision !== "passOn" && last?.outcome === "answered") {
    broken.push("MIXED");
  }
  if (decision !== "retry") {
    return broken;
  }
  const unrun = worlds.length -
    worlds.filter(({ outcome }) => outcome !== "notSent" && outcome !== "refused").length;
  const isOverSent = worlds.length - unrun >= walked.maxAttempts && last?.outcome !== "notSent" &&
    last?.outcome !== "refused";
  const isUnpaid = !walked.hasBudget && last?.outcome !== "notSent";
  if (isOverSent || isUnpaid || unrun >= RETRY_LIMITS.maxUnrunAttempts) {
    broken.push("BUDGET");
  }
  if (walked.isQuarantined) {
    broken.push("CRASHING");
  }
  if (walked.leftMs < RETRY_LIMITS.minLeftMs) {
    broken.push("LATE");
  }
  return broken;
}
