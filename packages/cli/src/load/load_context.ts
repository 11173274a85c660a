import type { Clock, RandomSource } from "@crocussail/protocol";
import type { EntryCache } from "./create_entry_cache.ts";
import type { LoadPlan } from "./load_plan.ts";

/** Context shared by all requests of a load run. */
export interface LoadContext {
  readonly plan: LoadPlan;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly entry: EntryCache;
  /** Stream ids seen so far, to detect tokens of another stream. */
  readonly streams: Set<string>;
}
