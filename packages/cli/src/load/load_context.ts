import type { Clock, RandomSource } from "@crocussail/protocol";
import type { EntryCache } from "./create_entry_cache.ts";
import type { LoadPlan } from "./load_plan.ts";

/** What every request of a load run uses. */
export interface LoadContext {
  readonly plan: LoadPlan;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly entry: EntryCache;
  /** Stream ids seen so far, to find tokens of another stream. */
  readonly streams: Set<string>;
}
