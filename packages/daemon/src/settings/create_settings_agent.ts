import type { PublishedBatch } from "../adapters/settings_source.ts";
import { SETTINGS_LIMITS } from "./constants.ts";
import { createPeerSyncState } from "./peer_sync_state.ts";
import { createServiceReaderState } from "./service_reader_state.ts";
import type { ServiceReaderOptions } from "./service_reader_state.ts";
import type { SettingsDigest } from "./settings_digest_schema.ts";
import type { SettingsEffect } from "./settings_effect.ts";
import type { SettingsEvent } from "./settings_event.ts";
import type { SettingsPage } from "./settings_page_schema.ts";
import type { SettingsState } from "./settings_state.ts";
import type { SettingsUpdate } from "./settings_update.ts";

/** Options of {@link createSettingsAgent}. */
export interface SettingsAgentOptions extends ServiceReaderOptions {
  readonly state: SettingsState;
}

/** Decision logic of the settings slice: takes events and the time, returns effects, no I/O. */
export interface SettingsAgent {
  applyEvent(event: SettingsEvent, nowMs: number): SettingsEffect[];
  buildDigest(nowMs: number): SettingsDigest;
  /**
   * Whether the daemon has caught up with its peers, or `startupTimeoutMs` has elapsed, since it
   * started or resumed after a pause.
   */
  isReady(nowMs: number): boolean;
  dumpState(nowMs: number): Readonly<Record<string, unknown>>;
}

/** Maximum number of paths in one log event. */
const MAX_LOGGED_PATHS = 5;

/** Creates the settings agent of one daemon; it updates `options.state`. */
export function createSettingsAgent(options: SettingsAgentOptions): SettingsAgent {
  const { state } = options;
  const reader = createServiceReaderState(options);
  const sync = createPeerSyncState();
  let confirmedAtMs = Number.NEGATIVE_INFINITY;
  let startedAtMs = options.nowMs;
  let lastTickAtMs = options.nowMs;
  let hasRequestedDigests = false;
  let hasCaughtUp = false;
  let serviceRevision = 0;
  let behindSinceMs: number | undefined;
  let isBehindReported = false;
  let isServiceLost = false;

  const confirm = (atMs: number) => {
    confirmedAtMs = Math.max(confirmedAtMs, atMs);
  };
  const buildDigest = (nowMs: number): SettingsDigest => {
    const ageMs = Number.isFinite(confirmedAtMs) ? Math.round(nowMs - confirmedAtMs) : -1;
    return [state.digest.getHash(), state.getHighestRevision(), Math.max(-1, ageMs)];
  };

  const applyUpdates = (updates: readonly SettingsUpdate[], source: string): SettingsEffect[] => {
    const accepted: SettingsUpdate[] = [];
    const effects: SettingsEffect[] = [];
    for (const update of updates) {
      const result = state.applyUpdate(update);
      if (result === "accepted") {
        accepted.push(update);
      }
      if (result === "rejected" || result === "refused") {
        effects.push(buildRejectionLog(update, result));
      }
    }
    if (accepted.length === 0) {
      return effects;
    }
    const paths = accepted.slice(0, MAX_LOGGED_PATHS).map((update) => update.path).join(" ");
    const fields = { count: accepted.length, revision: state.getRevision(), paths, source };
    return [...effects, { type: "log", event: "settingsAccepted", fields }, { type: "notify" }];
  };
  const buildRejectionLog = (
    update: SettingsUpdate,
    result: "rejected" | "refused",
  ): SettingsEffect => {
    const { path, revision } = update;
    if (result === "refused") {
      const fields = { path: path.slice(0, SETTINGS_LIMITS.maxPathLength), revision };
      return { type: "log", event: "settingsBoundReached", fields };
    }
    const [finding] = state.getEntry(path)?.findings ?? [];
    const reason = finding === undefined
      ? ""
      : `line ${finding.line}: ${finding.name}: ${finding.message}; ${finding.advice}`;
    return { type: "log", event: "settingsRejected", fields: { path, revision, reason } };
  };

  const observeServiceRevision = (revision: number, nowMs: number): SettingsEffect[] => {
    serviceRevision = revision;
    const wasLost = isServiceLost;
    isServiceLost = false;
    const effects: SettingsEffect[] = wasLost
      ? [{ type: "log", event: "settingsServiceFound", fields: { revision } }]
      : [];
    const revisionsBehind = state.getHighestRevision() - revision;
    if (revisionsBehind <= 0) {
      behindSinceMs = undefined;
      isBehindReported = false;
      return effects;
    }
    behindSinceMs ??= nowMs;
    if (isBehindReported || nowMs - behindSinceMs < SETTINGS_LIMITS.behindReportDelayMs) {
      return effects;
    }
    isBehindReported = true;
    const fields = { serviceRevision: revision, heldRevision: state.getHighestRevision() };
    return [...effects, { type: "log", event: "settingsServiceBehind", fields }];
  };
  const reportServiceLoss = (detail: string): SettingsEffect[] => {
    if (isServiceLost) {
      return [];
    }
    isServiceLost = true;
    return [{ type: "log", event: "settingsServiceLost", fields: { detail } }];
  };

  const applyRead = (batch: PublishedBatch, nowMs: number): SettingsEffect[] => {
    reader.observeRead(batch.revision, nowMs);
    const isCurrent = batch.revision >= state.getHighestRevision();
    const deleted = isCurrent ? listDeleted(state, batch) : [];
    const effects = applyUpdates([...batch.values, ...deleted], "service");
    if (isCurrent) {
      confirm(nowMs);
    }
    return [...effects, ...observeServiceRevision(batch.revision, nowMs)];
  };
  const applyWatch = (batch: PublishedBatch, nowMs: number): SettingsEffect[] => {
    reader.observeWatch(batch.revision);
    const effects = applyUpdates(batch.values, "service");
    const ignored = batch.values.filter((update) =>
      (state.getEntry(update.path)?.newest.revision ?? 0) > update.revision
    );
    const reports = ignored.slice(0, MAX_LOGGED_PATHS).map((
      { path, revision },
    ): SettingsEffect => ({
      type: "log",
      event: "settingsUpdateIgnored",
      fields: { path, revision, held: state.getEntry(path)?.newest.revision ?? 0 },
    }));
    return [...effects, ...reports, ...observeServiceRevision(batch.revision, nowMs)];
  };

  const applyPage = (from: string, page: SettingsPage, nowMs: number): SettingsEffect[] => {
    const before = state.digest.getHash();
    const effects = applyUpdates(page.updates.map(copyUpdate), from);
    const after = state.digest.getHash();
    sync.observeDigest(from, page.digest);
    sync.observePull(from, { isProductive: before !== after, next: page.next }, after);
    confirmByPeer(page.digest, nowMs);
    return [...effects, ...sync.decideExchange(buildDigest(nowMs))];
  };
  const confirmByPeer = ([hash, , ageMs]: SettingsDigest, nowMs: number) => {
    if (ageMs >= 0 && hash === state.digest.getHash()) {
      confirm(nowMs - ageMs);
    }
  };

  const applyTick = (event: SettingsEvent & { type: "tick" }, nowMs: number): SettingsEffect[] => {
    const effects: SettingsEffect[] = [];
    if (nowMs - lastTickAtMs >= SETTINGS_LIMITS.pauseThresholdMs) {
      startedAtMs = nowMs;
      hasRequestedDigests = false;
      hasCaughtUp = false;
      sync.resetDigestRequests();
      const fields = { pausedMs: Math.round(nowMs - lastTickAtMs) };
      effects.push({ type: "log", event: "settingsDistrusted", fields });
    }
    lastTickAtMs = nowMs;
    const hasPeers = event.peers.length > 0;
    if (!isReady(nowMs)) {
      effects.push(...sync.decideDigestRequests(event.peers, options.nextFloat));
      hasRequestedDigests ||= state.getRevision() > 0;
    }
    return [
      ...effects,
      ...sync.decideExchange(buildDigest(nowMs)),
      ...reader.decideCalls({ nowMs, neighbours: event.neighbours, hasPeers, confirmedAtMs }),
    ];
  };
  const isReady = (nowMs: number): boolean =>
    state.getRevision() > 0 &&
    (hasCaughtUp || nowMs - startedAtMs >= SETTINGS_LIMITS.startupTimeoutMs);
  /** Once set, stays set until the next pause: later differences are normal propagation. */
  const updateCaughtUp = () => {
    hasCaughtUp ||= hasRequestedDigests && sync.isCaughtUp(state.digest.getHash());
  };

  const applyEvent = (event: SettingsEvent, nowMs: number): SettingsEffect[] => {
    switch (event.type) {
      case "tick":
        return applyTick(event, nowMs);
      case "peerDigest":
        sync.observeDigest(event.from, event.digest);
        confirmByPeer(event.digest, nowMs);
        return sync.decideExchange(buildDigest(nowMs));
      case "askFailed":
        sync.observeDigestFailure(event.from);
        return [];
      case "pageReceived":
        return applyPage(event.from, event.page, nowMs);
      case "pullFailed":
        sync.observePullFailure(event.from, state.digest.getHash());
        return [];
      case "readAnswered":
        return applyRead(event.batch, nowMs);
      case "readFailed":
        reader.observeFailure("read", nowMs);
        return reportServiceLoss(event.detail);
      case "probeAnswered":
        if (reader.observeProbe(event.revision) && event.revision >= state.getHighestRevision()) {
          confirm(nowMs);
        }
        return observeServiceRevision(event.revision, nowMs);
      case "probeFailed":
        reader.observeFailure("probe", nowMs);
        return reportServiceLoss(event.detail);
      case "watchBatch":
        return applyWatch(event.batch, nowMs);
      case "watchEnded":
        reader.observeWatchEnd(event.isCompacted, nowMs);
        return reportServiceLoss(event.detail);
    }
  };

  return {
    applyEvent: (event, nowMs) => {
      const effects = applyEvent(event, nowMs);
      updateCaughtUp();
      return effects;
    },
    buildDigest,
    isReady,
    dumpState: (nowMs) => ({
      isReady: isReady(nowMs),
      hash: state.digest.getHash(),
      heldRevision: state.getHighestRevision(),
      confirmedMsAgo: buildDigest(nowMs)[2],
      service: {
        revision: serviceRevision,
        isLost: isServiceLost,
        behindBy: behindSinceMs === undefined ? 0 : state.getHighestRevision() - serviceRevision,
        behindForMs: behindSinceMs === undefined ? 0 : Math.round(nowMs - behindSinceMs),
        ...reader.dumpState(),
      },
      peers: sync.dumpState(),
    }),
  };
}

/**
 * Returns tombstones for the paths that a complete read no longer contains. The revisions of the
 * deletions are unknown, so the revision of the read is used: no change that the read covers has a
 * higher one, and every later change has a higher one.
 */
function listDeleted(state: SettingsState, batch: PublishedBatch): SettingsUpdate[] {
  const present = new Set(batch.values.map((update) => update.path));
  return [...state.listEntries()]
    .filter(({ newest }) => newest.text !== undefined || newest.oversizeBytes !== undefined)
    .filter(({ newest }) => !present.has(newest.path) && newest.revision <= batch.revision)
    .map(({ newest }) => ({ path: newest.path, revision: batch.revision }));
}

/** Drops the absent fields that the wire format leaves as `undefined`. */
function copyUpdate(update: SettingsPage["updates"][number]): SettingsUpdate {
  const { path, revision, text, oversizeBytes } = update;
  return {
    path,
    revision,
    ...(text === undefined ? {} : { text }),
    ...(oversizeBytes === undefined ? {} : { oversizeBytes }),
  };
}
