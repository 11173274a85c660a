import { rankByRendezvous } from "../common/rank_by_rendezvous.ts";
import { SETTINGS_LIMITS } from "./constants.ts";
import { createTokenBucket } from "./create_token_bucket.ts";
import type { SettingsEffect } from "./settings_effect.ts";

/** Options of {@link createServiceReaderState}. */
export interface ServiceReaderOptions {
  readonly host: string;
  readonly dataCentre: string;
  readonly nowMs: number;
  /** Returns a random float in `[0, 1)`, used to spread calls over time. */
  readonly nextFloat: () => number;
}

/** Decides when this daemon reads, watches and probes the settings service. */
export interface ServiceReaderState {
  /** `confirmedAtMs`: when this host or a peer last confirmed the map with the service. */
  decideCalls(input: {
    readonly nowMs: number;
    readonly neighbours: readonly string[];
    readonly hasPeers: boolean;
    readonly confirmedAtMs: number;
  }): SettingsEffect[];
  observeRead(revision: number, nowMs: number): void;
  observeWatch(revision: number): void;
  /** Returns whether the watch has received all changes up to the service's revision. */
  observeProbe(revision: number): boolean;
  observeWatchEnd(isCompacted: boolean, nowMs: number): void;
  observeFailure(call: "read" | "probe", nowMs: number): void;
  isWatching(): boolean;
  dumpState(): Readonly<Record<string, unknown>>;
}

/** Consecutive probes with a revision above the watch's after which the watch is stalled. */
const STALLED_PROBES = 2;

/** Creates the state of a daemon that has not read from the service yet. */
export function createServiceReaderState(options: ServiceReaderOptions): ServiceReaderState {
  const { nextFloat } = options;
  const bucket = createTokenBucket({
    burst: SETTINGS_LIMITS.callBurst,
    perSecond: SETTINGS_LIMITS.callsPerSecond,
    nowMs: options.nowMs,
  });
  const staleAfterMs = SETTINGS_LIMITS.staleAfterMs + nextFloat() * SETTINGS_LIMITS.staleJitterMs;
  const firstReadAtMs = options.nowMs + nextFloat() * SETTINGS_LIMITS.startJitterMs;
  let nextAttemptAtMs = options.nowMs;
  /** At most 10, which bounds the exponent of the retry delay. */
  let consecutiveFailures = 0;
  let isReading = false;
  let isProbing = false;
  let isWatching = false;
  let isReadNeeded = true;
  let lastReadAtMs: number | undefined;
  let lastProbeAtMs = options.nowMs;
  let watchRevision = 0;
  let laggingProbes = 0;
  let calls = 0;
  let ranked: { candidates: string; isWatcher: boolean } | undefined;

  /** Caches the ranking until the list of neighbours changes. */
  const isWatcher = (neighbours: readonly string[]): boolean => {
    const candidates = neighbours.join("\n");
    if (ranked?.candidates !== candidates) {
      const key = `settings-watch/${options.dataCentre}`;
      const order = rankByRendezvous(key, [...new Set([...neighbours, options.host])]);
      const watchers = order.slice(0, SETTINGS_LIMITS.watchersPerDataCentre);
      ranked = { candidates, isWatcher: watchers.includes(options.host) };
    }
    return ranked.isWatcher;
  };
  const tryCall = (nowMs: number): boolean => {
    if (nowMs < nextAttemptAtMs || !bucket.tryTake(nowMs)) {
      return false;
    }
    calls += 1;
    return true;
  };
  const delayRetry = (nowMs: number) => {
    const delayMs = Math.min(
      SETTINGS_LIMITS.maxRetryMs,
      SETTINGS_LIMITS.retryMs * 2 ** consecutiveFailures,
    );
    nextAttemptAtMs = nowMs + delayMs * (0.5 + nextFloat() / 2);
    consecutiveFailures = Math.min(consecutiveFailures + 1, 10);
  };
  const startRead = (nowMs: number): SettingsEffect[] => {
    if (isReading || !tryCall(nowMs)) {
      return [];
    }
    isReading = true;
    return [{ type: "read" }];
  };

  const decideWatching = (nowMs: number): SettingsEffect[] => {
    const isRereadDue = lastReadAtMs !== undefined &&
      nowMs - lastReadAtMs >= SETTINGS_LIMITS.rereadMs;
    if (isReadNeeded || isRereadDue) {
      return startRead(nowMs);
    }
    if (!isWatching) {
      if (!tryCall(nowMs)) {
        return [];
      }
      isWatching = true;
      laggingProbes = 0;
      return [{ type: "openWatch", after: watchRevision }];
    }
    if (isProbing || nowMs - lastProbeAtMs < SETTINGS_LIMITS.probeMs || !tryCall(nowMs)) {
      return [];
    }
    isProbing = true;
    lastProbeAtMs = nowMs;
    return [{ type: "probe" }];
  };

  return {
    decideCalls: ({ nowMs, neighbours, hasPeers, confirmedAtMs }) => {
      if (lastReadAtMs === undefined && hasPeers && nowMs < firstReadAtMs) {
        return [];
      }
      if (isWatcher(neighbours)) {
        const closeEffects: SettingsEffect[] = isWatching && laggingProbes >= STALLED_PROBES
          ? [{ type: "closeWatch" }]
          : [];
        if (closeEffects.length > 0) {
          isWatching = false;
          isReadNeeded = true;
        }
        return [...closeEffects, ...decideWatching(nowMs)];
      }
      if (isWatching) {
        isWatching = false;
        isReadNeeded = true;
        return [{ type: "closeWatch" }];
      }
      return nowMs - confirmedAtMs >= staleAfterMs ? startRead(nowMs) : [];
    },
    observeRead: (revision, nowMs) => {
      isReading = false;
      isReadNeeded = false;
      consecutiveFailures = 0;
      lastReadAtMs = nowMs;
      watchRevision = revision;
    },
    observeWatch: (revision) => {
      consecutiveFailures = 0;
      watchRevision = Math.max(watchRevision, revision);
    },
    observeProbe: (revision) => {
      isProbing = false;
      consecutiveFailures = 0;
      laggingProbes = revision > watchRevision ? laggingProbes + 1 : 0;
      return isWatching && laggingProbes === 0;
    },
    observeWatchEnd: (isCompacted, nowMs) => {
      isWatching = false;
      isReadNeeded ||= isCompacted || consecutiveFailures > 0;
      delayRetry(nowMs);
    },
    observeFailure: (call, nowMs) => {
      isReading &&= call !== "read";
      isProbing &&= call !== "probe";
      delayRetry(nowMs);
    },
    isWatching: () => isWatching,
    dumpState: () => ({
      isWatching,
      watchRevision,
      failures: consecutiveFailures,
      calls,
    }),
  };
}
