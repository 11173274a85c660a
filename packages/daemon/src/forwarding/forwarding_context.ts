import type { Clock, Logger, Metrics, RandomSource } from "@crocussail/protocol";
import type { DeploymentDialect } from "../adapters/deployment_dialect.ts";
import type { EngineMemory } from "../adapters/engine_memory.ts";
import type { OpenUpstreamExchange } from "../adapters/upstream_exchange.ts";
import type { LoadState } from "../balancing/mod.ts";
import type { Quarantine } from "../quarantine/mod.ts";
import type { RetryBudgetLimits, RetryBudgetState } from "../retries/mod.ts";
import type { UpstreamState } from "../upstreams/mod.ts";

/** What forwarding works with; the states are shared with the slices that feed them. */
export interface ForwardingContext {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly dialect: DeploymentDialect;
  readonly openExchange: OpenUpstreamExchange;
  readonly memory: EngineMemory;
  readonly upstreams: UpstreamState;
  readonly loads: LoadState;
  readonly quarantine: Pick<Quarantine, "isQuarantined" | "noteDeath" | "noteEnd">;
  readonly budgetLimits: RetryBudgetLimits;
  /** Budgets by service. */
  readonly budgets: Map<string, RetryBudgetState>;
  /** Most hosts that may be spending the fleet's budget now. */
  readonly countSpenders: () => number;
  /** An upstream has got more to do; the other hosts hear of it at once. */
  readonly noteLoadAdded: () => void;
  /** This host's load has changed otherwise; in a large fleet the other hosts hear of it later. */
  readonly noteLoadChange: () => void;
}
