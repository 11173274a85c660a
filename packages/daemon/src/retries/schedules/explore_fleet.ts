import type { RequestKind } from "../../routes/mod.ts";
import type { AttemptOutcome } from "../attempt_outcome.ts";
import type { RetryRule } from "./explore_schedules.ts";

/** A message of a host to a worker. */
interface Message {
  /** Number of the caller's attempt, which goes to one host. */
  readonly attempt: number;
  readonly worker: number;
  /** Where the request is: on its way, refused, running, run, or lost for good. */
  readonly at: "way" | "refused" | "running" | "run" | "lost";
  /** What the host concluded; what still comes on this connection is dropped then. */
  readonly told: AttemptOutcome | undefined;
}

/** The caller, both hosts and both workers at one moment. */
interface World {
  readonly messages: readonly Message[];
  /** What each attempt of the caller got. */
  readonly answers: readonly ("open" | "success" | "failure" | "promise" | "unknown" | "left")[];
}

/** An invariant that a schedule breaks. */
export interface FleetFault {
  readonly invariant: "TWICE" | "REFUSED" | "UNASKED" | "MIXED";
  readonly schedule: readonly string[];
}

/** What a walk over a fleet found. */
export interface FleetWalk {
  readonly worlds: number;
  readonly steps: number;
  /** Situations that the walk came to. */
  readonly reached: ReadonlySet<"secondHost" | "secondWorker" | "lateRun">;
  readonly faults: readonly FleetFault[];
}

const WORKERS = 2;
/** The caller's own attempts, each at another host. */
const CALLER_ATTEMPTS = 2;

/**
 * Walks every interleaving of one caller's request over two hosts and two workers: requests that are
 * on their way arrive late or never, workers refuse, run, answer or fall silent, hosts give up, the
 * caller leaves, or comes back at the other host when it is told that nothing ran.
 */
export function exploreFleet(rule: RetryRule, kind: RequestKind): FleetWalk {
  const seen = new Set<string>();
  const faults: FleetFault[] = [];
  const reached = new Set<"secondHost" | "secondWorker" | "lateRun">();
  let steps = 0;

  const visit = (world: World, schedule: readonly string[]) => {
    const key = JSON.stringify(world);
    if (seen.has(key)) {
      return;
    }
    seen.add(key);
    noteReached(reached, world);
    const broken = findBroken(world, kind);
    if (broken !== undefined) {
      faults.push({ invariant: broken, schedule });
      return; // what follows a broken invariant says nothing more
    }
    for (const [name, next] of listSteps(world, rule, kind)) {
      steps++;
      visit(next, [...schedule, name]);
    }
  };
  visit({ messages: [createMessage(0, 0)], answers: ["open"] }, [`${kind} sent to worker 0`]);
  return { worlds: seen.size, steps, reached, faults };
}

const createMessage = (attempt: number, worker: number): Message => ({
  attempt,
  worker,
  at: "way",
  told: undefined,
});

function listSteps(world: World, rule: RetryRule, kind: RequestKind): [string, World][] {
  const steps: [string, World][] = [];
  world.messages.forEach((message, index) => {
    const label = `attempt ${message.attempt} at worker ${message.worker}`;
    const add = (name: string, at: Message["at"]) =>
      steps.push([`${label}: ${name}`, replaceMessage(world, index, { at })]);
    const conclude = (name: string, told: AttemptOutcome) => {
      const concluded = replaceMessage(world, index, { told });
      for (const hasBudget of [true, false]) {
        const next = settle(concluded, index, (history) => rule({ ...history, hasBudget }), kind);
        steps.push([`${label}: ${name}, ${hasBudget ? "with" : "without"} budget`, next]);
      }
    };
    if (message.at === "way") {
      add("arrives and is refused", "refused");
      add("arrives and runs", "running");
      add("is lost on the way", "lost");
    }
    if (message.at === "running") {
      add("ends", "run");
    }
    if (message.told !== undefined) {
      return;
    }
    if (message.at === "lost") {
      conclude("connection was never open", "notSent");
    }
    if (message.at === "refused") {
      conclude("refusal comes back", "refused");
    }
    if (message.at === "run") {
      conclude("answer comes back", "answered");
      conclude("failure comes back", "failed");
    }
    conclude("connection breaks or the host gives up", "broken");
  });
  const current = world.answers.length - 1;
  if (world.answers[current] === "open") {
    steps.push(["caller leaves", setAnswer(world, current, "left")]);
  }
  return steps;
}

/** Lets the host draw its conclusion from the end of one message. */
function settle(
  world: World,
  index: number,
  rule: RetryRule,
  kind: RequestKind,
): World {
  const { attempt, told: outcome = "broken" } = world.messages[index] as Message;
  if (world.answers[attempt] !== "open") {
    return world; // the caller has left; hosts begin nothing for it
  }
  const own = world.messages.filter((other) => other.attempt === attempt);
  const unrun = own.filter(({ told }) => told === "notSent" || told === "refused").length;
  const decision = rule({
    kind,
    outcome,
    ranAttempts: own.length - unrun,
    unrunAttempts: unrun,
    maxAttempts: WORKERS,
    hasBudget: true,
    isQuarantined: false,
    leftMs: 1_000,
  });
  const isPlaced = decision === "retry" && own.length < WORKERS;
  if (isPlaced) {
    return {
      ...world,
      messages: [...world.messages, createMessage(attempt, own.length)],
    };
  }
  if (decision === "passOn") {
    const isSuccess = outcome === "answered";
    return setAnswer(world, attempt, isSuccess ? "success" : "failure");
  }
  // No worker is left for a further attempt: the daemon promises only where none may have run.
  if (decision === "unknown" || (decision === "retry" && own.length > unrun)) {
    return setAnswer(world, attempt, "unknown");
  }
  const refused = setAnswer(world, attempt, "promise");
  return attempt + 1 >= CALLER_ATTEMPTS ? refused : {
    messages: [...refused.messages, createMessage(attempt + 1, 1)],
    answers: [...refused.answers, "open"],
  };
}

function replaceMessage(world: World, index: number, change: Partial<Message>): World {
  return {
    ...world,
    messages: world.messages.map((message, at) =>
      at === index ? { ...message, ...change } : message
    ),
  };
}

function setAnswer(world: World, attempt: number, answer: World["answers"][number]): World {
  return { ...world, answers: world.answers.map((old, at) => at === attempt ? answer : old) };
}

function noteReached(
  reached: Set<"secondHost" | "secondWorker" | "lateRun">,
  { messages }: World,
): void {
  for (const { attempt, worker, at, told } of messages) {
    if (attempt > 0) {
      reached.add("secondHost");
    }
    if (attempt === 0 && worker > 0) {
      reached.add("secondWorker");
    }
    if (at === "running" && told === "broken") {
      reached.add("lateRun");
    }
  }
}

function findBroken(world: World, kind: RequestKind): FleetFault["invariant"] | undefined {
  const hasRun = ({ at }: Message) => at === "running" || at === "run";
  for (const [attempt, answer] of world.answers.entries()) {
    const own = world.messages.filter((message) => message.attempt === attempt);
    const runs = own.filter(hasRun).length;
    if (kind !== "repeatable" && runs > 1) {
      return "TWICE";
    }
    if (answer === "promise" && runs > 0) {
      return "REFUSED";
    }
    if (answer === "success" && !own.some(({ at, told }) => at === "run" && told === "answered")) {
      return "MIXED";
    }
    if (answer === "failure" && runs === 0) {
      return "MIXED";
    }
  }
  const total = world.messages.filter(hasRun).length;
  const promised = world.answers.filter((answer) => answer === "promise").length;
  if (kind !== "repeatable" && promised > 0 && total > 1) {
    return "TWICE"; // the caller came back because it was told that nothing had run
  }
  return world.messages.some(({ attempt }) => world.answers[attempt] === undefined)
    ? "UNASKED"
    : undefined;
}
