import type { Clock, Logger, Metrics, RandomSource } from "@crocussail/protocol";
import type { ProbeConnection } from "../adapters/probe_connection.ts";
import { REACHABILITY_LIMITS } from "./constants.ts";
import { decideUnreachable } from "./decide_unreachable.ts";
import type { ServiceReachability } from "./service_reachability.ts";

/** An upstream that accepts requests. */
export interface ReachableUpstream {
  readonly id: string;
  readonly address: string;
  /** Whether it may be probed; one that asks for a pause or names a limit is left alone. */
  readonly canProbe: boolean;
}

/** Options of {@link createReachability}. */
export interface ReachabilityOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly probeConnection: ProbeConnection;
  readonly listServices: () => readonly string[];
  /** Lists the upstreams of a service that accept requests. */
  readonly listUpstreams: (service: string) => readonly ReachableUpstream[];
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
  /**
   * Resolves to whether this host still reaches other upstreams, of any service, after it has lost
   * its connection to one. True if there is no other one to probe.
   */
  verifyLinks(lostUpstreamId: string): Promise<boolean>;
  /**
   * Resolves to whether an upstream accepts no connection after one to it was lost. One that must
   * not be probed counts as crashed.
   */
  hasCrashed(upstreamId: string, service: string): Promise<boolean>;
  /** Whether this host reaches no upstream of several services, and of no other one. */
  isCutOff(): boolean;
  /** Probes the services that a host of the same data centre has begun to report as unreachable. */
  checkReported(host: string, services: readonly string[]): void;
  isUnreachable(service: string): boolean;
  listUnreachable(): string[];
  /** Probes the unreachable services that are due. */
  tick(): void;
}

/**
 * Creates the observation of a host's links to upstreams. A response counts only for attempts that
 * started later than the last one that failed, because open connections may outlive a link that
 * accepts no new ones. The first failure is followed by a probe of another upstream, so that few
 * requests pay for a lost link, and one crashed upstream is told from it.
 */
export function createReachability(options: ReachabilityOptions): Reachability {
  const { clock, logger, metrics, random } = options;
  const services = new Map<string, ServiceReachability>();
  const probes = new Map<string, Promise<boolean>>();
  const probedAtMs = new Map<string, number>();
  const crashChecks = new Map<string, Promise<boolean>>();
  const reportedByHost = new Map<string, readonly string[]>();
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
  const isUnreachable = (service: string) =>
    services.get(service)?.unreachableSinceMs !== undefined;
  const listUnreachable = () => [...services.keys()].filter(isUnreachable);
  const reportChange = () => {
    metrics.gauge("upstreams.unreachableServices", listUnreachable().length);
    options.handleChange();
  };

  const recordFailure = ({ upstreamId, service, startedAtMs }: ReachabilityAttempt) => {
    const state = getState(service);
    if (startedAtMs < state.reachedAttemptAtMs) {
      return;
    }
    const nowMs = clock.readMonotonicMs();
    state.failures.set(upstreamId, nowMs);
    state.failedAttemptAtMs = Math.max(state.failedAttemptAtMs, startedAtMs);
    if (state.unreachableSinceMs !== undefined) {
      return;
    }
    const ids = options.listUpstreams(service).map(({ id }) => id);
    if (!decideUnreachable(state, ids, nowMs)) {
      probe(service);
      return;
    }
    state.unreachableSinceMs = nowMs;
    logger.writeEvent("serviceUnreachable", {
      service,
      upstreams: [...state.failures.keys()].join(" "),
      hostsReaching: options.countHostsReaching(service),
    });
    reportChange();
    options.listServices().filter((other) => !isUnreachable(other)).forEach(probeSeldom);
  };
  const recordContact = ({ upstreamId, service, startedAtMs }: ReachabilityAttempt) => {
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
  };

  const isCutOff = () => {
    const all = options.listServices();
    return all.length > 1 && all.every(isUnreachable);
  };

  const runProbe = async (service: string, upstream: ReachableUpstream): Promise<boolean> => {
    const attempt = { upstreamId: upstream.id, service, startedAtMs: clock.readMonotonicMs() };
    const isReached = await options.probeConnection(upstream.address, {
      timeoutMs: REACHABILITY_LIMITS.probeTimeoutMs,
      holdMs: REACHABILITY_LIMITS.probeHoldMs,
    });
    probes.delete(service);
    metrics.increment("upstreams.probes", 1, { end: isReached ? "reached" : "failed" });
    isReached ? recordContact(attempt) : recordFailure(attempt);
    return isReached;
  };
  const listCandidates = (service: string) =>
    options.listUpstreams(service).filter(({ canProbe }) => canProbe);
  const listUntried = (service: string, excludedId?: string) => {
    const { failures } = getState(service);
    return listCandidates(service).filter(({ id }) => !failures.has(id) && id !== excludedId);
  };
  /** Probes one of several upstreams of a service; one at a time. */
  const probeAny = (
    service: string,
    upstreams: readonly ReachableUpstream[],
  ): Promise<boolean> | undefined => {
    const running = probes.get(service);
    const upstream = upstreams[random.nextInteger(Math.max(1, upstreams.length))];
    if (running !== undefined || upstream === undefined) {
      return running;
    }
    probedAtMs.set(service, clock.readMonotonicMs());
    const started = runProbe(service, upstream);
    probes.set(service, started);
    return started;
  };
  /** Probes an upstream of a service, preferably one that has not failed. */
  const probe = (service: string) => {
    const untried = listUntried(service);
    probeAny(service, untried.length > 0 ? untried : listCandidates(service));
  };
  const probeSeldom = (service: string) => {
    const lastMs = probedAtMs.get(service) ?? Number.NEGATIVE_INFINITY;
    if (clock.readMonotonicMs() - lastMs >= REACHABILITY_LIMITS.probeIntervalMs) {
      probe(service);
    }
  };

  const checkCrash = async (upstreamId: string, service: string) => {
    const upstream = options.listUpstreams(service).find(({ id }) => id === upstreamId);
    const isUp = upstream?.canProbe === true &&
      await options.probeConnection(upstream.address, {
        timeoutMs: REACHABILITY_LIMITS.probeTimeoutMs,
        holdMs: REACHABILITY_LIMITS.probeHoldMs,
      });
    crashChecks.delete(upstreamId);
    return !isUp;
  };

  return {
    recordFailure,
    recordContact,
    hasCrashed: (upstreamId, service) => {
      const check = crashChecks.get(upstreamId) ?? checkCrash(upstreamId, service);
      crashChecks.set(upstreamId, check);
      return check;
    },
    verifyLinks: async (lostUpstreamId) => {
      if (isCutOff()) {
        return false;
      }
      const started = options.listServices()
        .map((service) => probeAny(service, listUntried(service, lostUpstreamId)))
        .filter((running) => running !== undefined);
      const results = await Promise.all(started);
      return results.length === 0 || results.includes(true);
    },
    isCutOff,
    checkReported: (host, reported) => {
      const former = reportedByHost.get(host) ?? [];
      reported.length === 0 ? reportedByHost.delete(host) : reportedByHost.set(host, reported);
      reported.filter((service) => !former.includes(service) && !isUnreachable(service))
        .forEach(probeSeldom);
    },
    isUnreachable,
    listUnreachable,
    tick: () => listUnreachable().forEach(probeSeldom),
  };
}
