import { rankByRendezvous } from "../common/rank_by_rendezvous.ts";
import { SETTINGS_LIMITS } from "./constants.ts";
import { createTokenBucket } from "./create_token_bucket.ts";
import type { SettingsEffect } from "./settings_effect.ts";

/** Options of {@link createServiceReaderState}. */
export interface ServiceReaderOptions {
  readonly host: string;
  readonly dataCentre: string;
  readonly nowMs: number;
  /** Returns a float in `[0, 1)`; spreads calls in time. */
  readonly nextFloat: () => number;
}

/** Decides when this daemon reads, watches and probes the settings service. */
export interface ServiceReaderState {
  /** `confirmedAtMs`: when the map was last confirmed, here or at a peer. */
  decideCalls(input: {
    readonly nowMs: number;
    readonly neighbours: readonly string[];
    readonly hasPeers: boolean;
    readonly confirmedAtMs: number;
  }): SettingsEffect[];
  observeRead(revision: number, nowMs: number): void;
  observeWatch(revision: number): void;
  /** Returns whether the watch has everything up to the service's revision. */
  observeProbe(revision: number): boolean;
  observeWatchEnd(isCompacted: boolean, nowMs: number): void;
  observeFailure(call: "read" | "probe", nowMs: number): void;
  isWatching(): boolean;
  dumpState(): Readonly<Record<string, unknown>>;
}

/** Consecutive probes ahead of the watch that mark it as stalled. */
const STALLED_PROBES = 2;

/** Creates the reader of a started daemon. */
export function createServiceReaderState(options: ServiceReaderOptions): ServiceReaderState {
  const { nextFloat } = options;
  const bucket = createTokenBucket({
    burst: SETTINGS_LIMITS.callBurst,
    perSecond: SETTINGS_LIMITS.callsPerSecond,
    nowMs: options.nowMs,
  });
  const quietMs = SETTINGS_LIMITS.quietMs + nextFloat() * SETTINGS_LIMITS.quietJitterMs;
  const startAtMs = options.nowMs + nextFloat() * SETTINGS_LIMITS.startJitterMs;
  let nextAttemptAtMs = options.nowMs;
  let failures = 0;
  let isReading = false;
  let isProbing = false;
  let isWatching = false;
  let isReadNeeded = true;
  let readAtMs: number | undefined;
  let probeAtMs = options.nowMs;
  let watchRevision = 0;
  let lagging = 0;
  let calls = 0;
  let ranked: { candidates: string; isWatcher: boolean } | undefined;

  /** Ranks the neighbours only when their list has changed. */
  const isWatcher = (neighbours: readonly string[]): boolean => {
    const candidates = neighbours.join("\n");
    if (ranked?.candidates !== candidates) {
      const key = `settings-watch/${options.dataCentre}`;
      const order = rankByRendezvous(key, [...new Set([...neighbours, options.host])]);
      const first = order.slice(0, SETTINGS_LIMITS.watchersPerDataCentre);
      ranked = { candidates, isWatcher: first.includes(options.host) };
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
    const delay = Math.min(SETTINGS_LIMITS.maxRetryMs, SETTINGS_LIMITS.retryMs * 2 ** failures);
    nextAttemptAtMs = nowMs + delay * (0.5 + nextFloat() / 2);
    failures = Math.min(failures + 1, 10);
  };
  const startRead = (nowMs: number): SettingsEffect[] => {
    if (isReading || !tryCall(nowMs)) {
      return [];
    }
    isReading = true;
    return [{ type: "read" }];
  };

  const decideWatching = (nowMs: number): SettingsEffect[] => {
    const isRereadDue = readAtMs !== undefined && nowMs - readAtMs >= SETTINGS_LIMITS.rereadMs;
    if (isReadNeeded || isRereadDue) {
      return startRead(nowMs);
    }
    if (!isWatching) {
      if (!tryCall(nowMs)) {
        return [];
      }
      isWatching = true;
      lagging = 0;
      return [{ type: "openWatch", after: watchRevision }];
    }
    if (isProbing || nowMs - probeAtMs < SETTINGS_LIMITS.probeMs || !tryCall(nowMs)) {
      return [];
    }
    isProbing = true;
    probeAtMs = nowMs;
    return [{ type: "probe" }];
  };

  return {
    decideCalls: ({ nowMs, neighbours, hasPeers, confirmedAtMs }) => {
      if (readAtMs === undefined && hasPeers && nowMs < startAtMs) {
        return [];
      }
      if (isWatcher(neighbours)) {
        const stalled: SettingsEffect[] = isWatching && lagging >= STALLED_PROBES
          ? [{ type: "closeWatch" }]
          : [];
        if (stalled.length > 0) {
          isWatching = false;
          isReadNeeded = true;
        }
        return [...stalled, ...decideWatching(nowMs)];
      }
      if (isWatching) {
        isWatching = false;
        isReadNeeded = true;
        return [{ type: "closeWatch" }];
      }
      return nowMs - confirmedAtMs >= quietMs ? startRead(nowMs) : [];
    },
    observeRead: (revision, nowMs) => {
      isReading = false;
      isReadNeeded = false;
      failures = 0;
      readAtMs = nowMs;
      watchRevision = revision;
    },
    observeWatch: (revision) => {
      failures = 0;
      watchRevision = Math.max(watchRevision, revision);
    },
    observeProbe: (revision) => {
      isProbing = false;
      failures = 0;
      lagging = revision > watchRevision ? lagging + 1 : 0;
      return isWatching && lagging === 0;
    },
    observeWatchEnd: (isCompacted, nowMs) => {
      isWatching = false;
      isReadNeeded ||= isCompacted || failures > 0;
      delayRetry(nowMs);
    },
    observeFailure: (call, nowMs) => {
      isReading &&= call !== "read";
      isProbing &&= call !== "probe";
      delayRetry(nowMs);
    },
    isWatching: () => isWatching,
    dumpState: () => ({ isWatching, watchRevision, failures, calls }),
  };
}
