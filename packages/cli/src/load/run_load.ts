import type { Clock, RandomSource } from "@crocussail/protocol";
import { computeLoadSummary } from "./compute_load_summary.ts";
import { createEntryCache } from "./create_entry_cache.ts";
import type { LoadContext } from "./load_context.ts";
import type { LoadOutcome } from "./load_outcome.ts";
import type { LoadKind, LoadPlan } from "./load_plan.ts";
import type { LoadSummary } from "./load_summary_schema.ts";
import { sendChat } from "./send_chat.ts";
import { sendOrder } from "./send_order.ts";
import { sendRead } from "./send_read.ts";

/** Options of {@link runLoad}. */
export interface RunLoadOptions {
  readonly plan: LoadPlan;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Called after each request with the number of requests ended so far. */
  readonly reportProgress: (ended: number) => void;
}

const SENDERS: Readonly<Record<LoadKind, (context: LoadContext) => Promise<LoadOutcome>>> = {
  chat: sendChat,
  order: sendOrder,
  read: sendRead,
};
const KINDS: readonly LoadKind[] = ["chat", "order", "read"];

/** Runs a bounded load and returns one summary for each kind sent. */
export async function runLoad(options: RunLoadOptions): Promise<LoadSummary[]> {
  const { plan, clock, random } = options;
  const entry = createEntryCache({ entryUrl: plan.entryUrl, clock, random });
  const context: LoadContext = { plan, clock, random, entry, streams: new Set() };
  const endMs = clock.readMonotonicMs() + plan.durationMs;
  const outcomes: LoadOutcome[] = [];
  let startedCount = 0;

  const runWorker = async () => {
    while (startedCount < plan.requests && clock.readMonotonicMs() < endMs) {
      startedCount += 1;
      outcomes.push(await SENDERS[pickKind(plan, random)](context));
      options.reportProgress(outcomes.length);
    }
  };
  await Promise.all(Array.from({ length: plan.concurrency }, runWorker));
  return KINDS
    .map((kind) => ({ kind, kindOutcomes: outcomes.filter((outcome) => outcome.kind === kind) }))
    .filter(({ kindOutcomes }) => kindOutcomes.length > 0)
    .map(({ kind, kindOutcomes }) => computeLoadSummary(kind, kindOutcomes, plan.deadlineMs));
}

function pickKind(plan: LoadPlan, random: RandomSource): LoadKind {
  const total = KINDS.reduce((sum, kind) => sum + plan.weights[kind], 0);
  let remaining = random.nextFloat() * total;
  return KINDS.find((kind) => (remaining -= plan.weights[kind]) < 0) ?? "chat";
}
