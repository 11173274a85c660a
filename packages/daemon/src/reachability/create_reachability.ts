import type { Clock, Logger, Metrics } from "@crocussail/protocol";
import { decideUnreachable } from "./decide_unreachable.ts";
import type { ServiceReachability } from "./service_reachability.ts";

/** Options of {@link createReachability}. */
export interface ReachabilityOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Lists the ids of the upstreams of a service that accept requests. */
  readonly listUpstreamIds: (service: string) => readonly string[];
  /** Counts the live hosts that reach a service, without this one. */
  readonly countHostsReaching: (service: string) => number;
  /** Called when a service has become unreachable or reachable. */
  readonly handleChange: () => void;
}

/** One attempt to reach an upstream. */
export interface ReachabilityAttempt {
  readonly upstreamId: string;
  readonly service: string;
  /** Monotonic time at which it started. */
  readonly startedAtMs: number;
}

/** Which services this host reaches, by its own connections to their upstreams. */
export interface Reachability {
  /** Records an attempt that ended before the first byte of a response. */
  recordFailure(attempt: ReachabilityAttempt): void;
  /** Records an attempt that received a response. */
  recordContact(attempt: ReachabilityAttempt): void;
  isUnreachable(service: string): boolean;
  listUnreachable(): string[];
}

/**
 * Creates the observation of a host's links to upstreams. A response counts only for attempts that
 * started later than the last one that failed, because open connections may outlive a link that
 * accepts no new ones.
 */
export function createReachability(options: ReachabilityOptions): Reachability {
  const { clock, logger, metrics } = options;
  const services = new Map<string, ServiceReachability>();
  const getState = (service: string) => {
    const known = services.get(service);
    const state: ServiceReachability = known ?? {
      failures: new Map(),
      failedAttemptAtMs: Number.NEGATIVE_INFINITY,
      reachedAttemptAtMs: Number.NEGATIVE_INFINITY,
      unreachableSinceMs: undefined,
    };
    if (known === undefined) {
      services.set(service, state);
    }
    return state;
  };
  const listUnreachable = () =>
    [...services].filter(([, { unreachableSinceMs }]) => unreachableSinceMs !== undefined)
      .map(([service]) => service);
  const reportChange = () => {
    metrics.gauge("upstreams.unreachableServices", listUnreachable().length);
    options.handleChange();
  };

  return {
    recordFailure: ({ upstreamId, service, startedAtMs }) => {
      const state = getState(service);
      if (startedAtMs < state.reachedAttemptAtMs) {
        return;
      }
      const nowMs = clock.readMonotonicMs();
      state.failures.set(upstreamId, nowMs);
      state.failedAttemptAtMs = Math.max(state.failedAttemptAtMs, startedAtMs);
      const isLost = decideUnreachable(state, options.listUpstreamIds(service), nowMs);
      if (state.unreachableSinceMs !== undefined || !isLost) {
        return;
      }
      state.unreachableSinceMs = nowMs;
      logger.writeEvent("serviceUnreachable", {
        service,
        upstreams: [...state.failures.keys()].join(" "),
        hostsReaching: options.countHostsReaching(service),
      });
      reportChange();
    },
    recordContact: ({ upstreamId, service, startedAtMs }) => {
      const state = getState(service);
      if (startedAtMs < state.failedAttemptAtMs) {
        return;
      }
      state.reachedAttemptAtMs = Math.max(state.reachedAttemptAtMs, startedAtMs);
      state.failures.clear();
      if (state.unreachableSinceMs === undefined) {
        return;
      }
      const unreachableMs = clock.readMonotonicMs() - state.unreachableSinceMs;
      state.unreachableSinceMs = undefined;
      logger.writeEvent("serviceReached", {
        service,
        upstream: upstreamId,
        unreachableMs: Math.round(unreachableMs),
      });
      reportChange();
    },
    isUnreachable: (service) => services.get(service)?.unreachableSinceMs !== undefined,
    listUnreachable,
  };
}
