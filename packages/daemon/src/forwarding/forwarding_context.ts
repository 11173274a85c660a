import type { Clock, Logger, Metrics, RandomSource } from "@crocussail/protocol";
import type { DeploymentDialect } from "../adapters/deployment_dialect.ts";
import type { KvCacheClient } from "../adapters/kv_cache_client.ts";
import type { ProbeConnection } from "../adapters/probe_connection.ts";
import type { OpenUpstreamExchange } from "../adapters/upstream_exchange.ts";
import type { ByteBudget } from "../common/create_byte_budget.ts";
import type { TimerDelays } from "./create_timer_delays.ts";
import type { BrittleUpstreams } from "../brittle_upstreams/mod.ts";
import type { LoadState } from "../balancing/mod.ts";
import type { Handover } from "../handover/mod.ts";
import type { PromptPartQuarantine, Quarantine } from "../quarantine/mod.ts";
import type { Reachability } from "../reachability/mod.ts";
import type { RetryBudgetLimits, RetryBudgetState } from "../retries/mod.ts";
import type { UpstreamLimits } from "../upstream_limits/mod.ts";
import type { UpstreamState } from "../upstreams/mod.ts";

/** Dependencies of forwarding; the states are shared with the slices that update them. */
export interface ForwardingContext {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly dialect: DeploymentDialect;
  readonly openExchange: OpenUpstreamExchange;
  readonly kvCache: KvCacheClient;
  readonly probeConnection: ProbeConnection;
  readonly timerDelays: TimerDelays;
  /** Bytes of responses that are buffered, of all requests together. */
  readonly answerBudget: ByteBudget;
  readonly upstreams: UpstreamState;
  readonly loads: LoadState;
  readonly limits: Pick<
    UpstreamLimits,
    "getLimit" | "getFreeInMs" | "isUnconfirmed" | "requestPermit"
  >;
  readonly brittle: Pick<
    BrittleUpstreams,
    | "isBrittle"
    | "findOwner"
    | "hasRoom"
    | "waitForRoom"
    | "countWaiting"
    | "estimateWaitMs"
    | "recordEnd"
  >;
  readonly localHost: string;
  readonly reachability: Pick<
    Reachability,
    "hasCrashed" | "isUnreachable" | "isCutOff" | "verifyLinks"
  >;
  readonly handover: Handover;
  readonly quarantine: Pick<
    Quarantine,
    "isQuarantined" | "recordUpstreamCrash" | "recordRequestEnd"
  >;
  readonly promptParts: Pick<
    PromptPartQuarantine,
    "isQuarantined" | "isSuspected" | "recordCrash" | "recordSound"
  >;
  readonly budgetLimits: RetryBudgetLimits;
  /** Retry budgets by service. */
  readonly budgets: Map<string, RetryBudgetState>;
  /** Upper bound on the number of hosts that may use the fleet's retry budget now. */
  readonly countHostsSharingRetryBudget: () => number;
  /** Reports a higher load of an upstream; it is sent to the other hosts at once. */
  readonly reportLoadIncrease: () => void;
  /** Reports any other change of this host's load; a large fleet receives it in a later report. */
  readonly reportLoadChange: () => void;
}
