import type { RequestKind } from "../../routes/mod.ts";
import type { AttemptOutcome } from "../attempt_outcome.ts";
import type { RetryRule } from "./explore_schedules.ts";

/** One try of a host at an upstream: the request that it sent, and how far that request got. */
interface Message {
  /** Index of the caller's attempt; each attempt goes to one host. */
  readonly attempt: number;
  readonly upstream: number;
  /** State of the request: in transit, refused, running, executed, or lost. */
  readonly at: "way" | "refused" | "running" | "run" | "lost";
  /** Outcome that the host recorded; it ignores anything received on this connection after that. */
  readonly conclusion: AttemptOutcome | undefined;
}

/** State of the caller, both hosts and both upstreams at one moment. */
interface FleetState {
  readonly messages: readonly Message[];
  /** Result of each attempt of the caller; `notExecuted` guarantees that it was not executed. */
  readonly answers:
    readonly ("open" | "success" | "failure" | "notExecuted" | "unknown" | "disconnected")[];
}

/** A schedule that violates an invariant. */
export interface FleetFault {
  /**
   * `executedTwice`: a non-repeatable request is executed twice; `reportedNotExecuted`: an executed
   * request is reported as not executed; `requestWithoutAttempt`: a request belongs to no attempt
   * of the caller; `resultMismatch`: the result does not match what the upstreams executed.
   */
  readonly violation:
    | "executedTwice"
    | "reportedNotExecuted"
    | "requestWithoutAttempt"
    | "resultMismatch";
  readonly schedule: readonly string[];
}

/** Result of an exploration of the fleet. */
export interface FleetExploration {
  /** Distinct states of the fleet. */
  readonly worlds: number;
  readonly steps: number;
  /** Situations that the exploration reached. */
  readonly reached: ReadonlySet<"secondHost" | "secondUpstream" | "executionAfterBrokenConnection">;
  readonly faults: readonly FleetFault[];
}

const UPSTREAMS = 2;
/** Attempts of the caller, each at a different host. */
const CALLER_ATTEMPTS = 2;

/**
 * Explores every interleaving of one caller's request over two hosts and two upstreams: requests
 * in transit arrive late or are lost; upstreams refuse, execute, respond or stop responding; hosts
 * time out; the caller disconnects, or retries at the other host after a
 * response that says "not executed".
 */
export function exploreFleet(rule: RetryRule, kind: RequestKind): FleetExploration {
  const seen = new Set<string>();
  const faults: FleetFault[] = [];
  const reached = new Set<"secondHost" | "secondUpstream" | "executionAfterBrokenConnection">();
  let steps = 0;

  const visit = (fleet: FleetState, schedule: readonly string[]) => {
    const key = JSON.stringify(fleet);
    if (seen.has(key)) {
      return;
    }
    seen.add(key);
    recordReached(reached, fleet);
    const violation = findViolation(fleet, kind);
    if (violation !== undefined) {
      faults.push({ violation, schedule });
      return; // states after a violation are not meaningful
    }
    for (const [name, next] of listSteps(fleet, rule, kind)) {
      steps++;
      visit(next, [...schedule, name]);
    }
  };
  visit({ messages: [createMessage(0, 0)], answers: ["open"] }, [`${kind} sent to upstream 0`]);
  return { worlds: seen.size, steps, reached, faults };
}

const createMessage = (attempt: number, upstream: number): Message => ({
  attempt,
  upstream,
  at: "way",
  conclusion: undefined,
});

function listSteps(fleet: FleetState, rule: RetryRule, kind: RequestKind): [string, FleetState][] {
  const steps: [string, FleetState][] = [];
  fleet.messages.forEach((message, index) => {
    const label = `attempt ${message.attempt} at upstream ${message.upstream}`;
    const add = (name: string, at: Message["at"]) =>
      steps.push([`${label}: ${name}`, replaceMessage(fleet, index, { at })]);
    const conclude = (name: string, conclusion: AttemptOutcome) => {
      const concluded = replaceMessage(fleet, index, { conclusion });
      for (const hasBudget of [true, false]) {
        const next = applyRetryDecision(
          concluded,
          index,
          (history) => rule({ ...history, hasBudget }),
          kind,
        );
        steps.push([`${label}: ${name}, ${hasBudget ? "with" : "without"} budget`, next]);
      }
    };
    if (message.at === "way") {
      add("is received and refused", "refused");
      add("is received and executed", "running");
      add("is lost in transit", "lost");
    }
    if (message.at === "running") {
      add("execution ends", "run");
    }
    if (message.conclusion !== undefined) {
      return;
    }
    if (message.at === "lost") {
      conclude("connection was not established", "notSent");
    }
    if (message.at === "refused") {
      conclude("refusal is received", "refused");
    }
    if (message.at === "run") {
      conclude("response is received", "answered");
      conclude("failure is received", "failed");
    }
    conclude("connection is reset or times out", "broken");
  });
  const current = fleet.answers.length - 1;
  if (fleet.answers[current] === "open") {
    steps.push(["caller disconnects", setAnswer(fleet, current, "disconnected")]);
  }
  return steps;
}

/** Applies the host's decision after the end of one request. */
function applyRetryDecision(
  fleet: FleetState,
  index: number,
  rule: RetryRule,
  kind: RequestKind,
): FleetState {
  const { attempt, conclusion: outcome = "broken" } = fleet.messages[index] as Message;
  if (fleet.answers[attempt] !== "open") {
    return fleet; // the caller has disconnected; hosts start no further attempt
  }
  const attemptMessages = fleet.messages.filter((other) => other.attempt === attempt);
  const unexecutedCount =
    attemptMessages.filter(({ conclusion }) => conclusion === "notSent" || conclusion === "refused")
      .length;
  // The rule counts this host's attempts at upstreams, not the caller's attempts at hosts.
  const decision = rule({
    kind,
    outcome,
    executedAttempts: attemptMessages.length - unexecutedCount,
    unexecutedAttempts: unexecutedCount,
    maxAttempts: UPSTREAMS,
    hasBudget: true,
    isQuarantined: false,
    leftMs: 1_000,
  });
  const canRetry = decision === "retry" && attemptMessages.length < UPSTREAMS;
  if (canRetry) {
    return {
      ...fleet,
      messages: [...fleet.messages, createMessage(attempt, attemptMessages.length)],
    };
  }
  if (decision === "relay") {
    const isSuccess = outcome === "answered";
    return setAnswer(fleet, attempt, isSuccess ? "success" : "failure");
  }
  // No upstream is left: the host reports not executed only if no attempt may have been executed.
  if (
    decision === "unknown" || (decision === "retry" && attemptMessages.length > unexecutedCount)
  ) {
    return setAnswer(fleet, attempt, "unknown");
  }
  const refused = setAnswer(fleet, attempt, "notExecuted");
  return attempt + 1 >= CALLER_ATTEMPTS ? refused : {
    messages: [...refused.messages, createMessage(attempt + 1, 1)],
    answers: [...refused.answers, "open"],
  };
}

function replaceMessage(fleet: FleetState, index: number, change: Partial<Message>): FleetState {
  return {
    ...fleet,
    messages: fleet.messages.map((message, at) =>
      at === index ? { ...message, ...change } : message
    ),
  };
}

function setAnswer(
  fleet: FleetState,
  attempt: number,
  answer: FleetState["answers"][number],
): FleetState {
  return { ...fleet, answers: fleet.answers.map((old, at) => at === attempt ? answer : old) };
}

function recordReached(
  reached: Set<"secondHost" | "secondUpstream" | "executionAfterBrokenConnection">,
  { messages }: FleetState,
): void {
  for (const { attempt, upstream, at, conclusion } of messages) {
    if (attempt > 0) {
      reached.add("secondHost");
    }
    if (attempt === 0 && upstream > 0) {
      reached.add("secondUpstream");
    }
    if (at === "running" && conclusion === "broken") {
      reached.add("executionAfterBrokenConnection");
    }
  }
}

function findViolation(fleet: FleetState, kind: RequestKind): FleetFault["violation"] | undefined {
  const hasStarted = ({ at }: Message) => at === "running" || at === "run";
  for (const [attempt, answer] of fleet.answers.entries()) {
    const attemptMessages = fleet.messages.filter((message) => message.attempt === attempt);
    const executionCount = attemptMessages.filter(hasStarted).length;
    if (kind !== "repeatable" && executionCount > 1) {
      return "executedTwice";
    }
    if (answer === "notExecuted" && executionCount > 0) {
      return "reportedNotExecuted";
    }
    if (
      answer === "success" &&
      !attemptMessages.some(({ at, conclusion }) => at === "run" && conclusion === "answered")
    ) {
      return "resultMismatch";
    }
    if (answer === "failure" && executionCount === 0) {
      return "resultMismatch";
    }
  }
  const totalExecutionCount = fleet.messages.filter(hasStarted).length;
  const notExecutedCount = fleet.answers.filter((answer) => answer === "notExecuted").length;
  if (kind !== "repeatable" && notExecutedCount > 0 && totalExecutionCount > 1) {
    return "executedTwice"; // the caller retried after a report of not executed
  }
  return fleet.messages.some(({ attempt }) => fleet.answers[attempt] === undefined)
    ? "requestWithoutAttempt"
    : undefined;
}
