import type { Timer } from "@crocussail/protocol";
import { computeLocalLoads, createLoadState } from "../balancing/mod.ts";
import { createBrittleUpstreams } from "../brittle_upstreams/mod.ts";
import { createReleaseMeter } from "../common/create_release_meter.ts";
import { createConnectionGuard } from "../connections/mod.ts";
import {
  chooseAddresses,
  createFleetHosts,
  HOST_LIMITS,
  markIncarnation,
} from "../fleet_hosts/mod.ts";
import type { LocalReport } from "../fleet_hosts/mod.ts";
import { createForwarder } from "../forwarding/mod.ts";
import type { Forwarder } from "../forwarding/mod.ts";
import { acceptHandover, createHandover } from "../handover/mod.ts";
import { createPromptPartQuarantine, createQuarantine } from "../quarantine/mod.ts";
import { createReachability } from "../reachability/mod.ts";
import { createUpstreamLimits } from "../upstream_limits/mod.ts";
import { findUpstreamAt, getPauseMs, isEvacuated } from "../upstreams/mod.ts";
import { applyReportedUpstreams } from "./apply_reported_upstreams.ts";
import { chooseReaders } from "./choose_readers.ts";
import { GATEWAY_LIMITS } from "./constants.ts";
import { computeBufferLimits } from "./compute_buffer_limits.ts";
import { computeDrainTime } from "./compute_drain_time.ts";
import { createActiveSettings } from "./create_active_settings.ts";
import { createColdNotices } from "./create_cold_notices.ts";
import { createEvacuationWiring } from "./create_evacuation_wiring.ts";
import { createGatewayAnswers } from "./create_gateway_answers.ts";
import { createGatewayListeners } from "./create_gateway_listeners.ts";
import { createObservedExchange } from "./create_observed_exchange.ts";
import { createPauseNotices } from "./create_pause_notices.ts";
import { createSettingsReading } from "./create_settings_reading.ts";
import { createUpstreamReading } from "./create_upstream_reading.ts";
import { createUpstreamView } from "./create_upstream_view.ts";
import { createVersionNotices } from "./create_version_notices.ts";
import { describeLoads } from "./describe_loads.ts";
import { describeUpstreams } from "./describe_upstreams.ts";
import { findPause } from "./find_pause.ts";
import type { GatewayOptions } from "./gateway_options.ts";
import { listSeedAddresses } from "./list_seed_addresses.ts";
import { readPeerLoads } from "./read_peer_loads.ts";

/** A daemon that forwards requests by published routes. */
export interface Gateway {
  start(): Promise<void>;
  /**
   * Starts draining; resolves when no request is left, but not before the minimum drain time, or
   * when the shutdown grace period is over. Called again, it changes nothing and resolves then too.
   */
  leave(): Promise<void>;
  stop(): void;
  setSeeds(seeds: readonly string[]): void;
}

const INCARNATION_BYTES = 8;
/** Reports of this build contain evacuations, cold upstreams and waiting requests. */
const PROTOCOL_VERSION = 1;

/** Creates a gateway from its configuration and external interfaces. */
export function createGateway(options: GatewayOptions): Gateway {
  const { config, clock, random, logger, metrics, dialect, directory } = options;
  const incarnation = markIncarnation(random.nextHex(INCARNATION_BYTES), PROTOCOL_VERSION);
  const peerAddress = `${config.host.address}:${config.listen.peerPort}`;
  const buffers = computeBufferLimits(config.host.memoryMb);
  const releases = createReleaseMeter(options.collectGarbage);
  const loads = createLoadState();
  const seedAddresses = listSeedAddresses(config.peers.seeds, config.listen.peerPort);
  let isLeaving = false;
  let leaving: Promise<void> | undefined;
  let leavingSinceMs = Number.POSITIVE_INFINITY;
  let isConfirmed = false;
  let isLeadingReader = false;
  let readerRank = -1;
  let era = 0;
  let timer: Timer | undefined;
  const readClocks = () => ({
    monotonicMs: clock.readMonotonicMs(),
    wallMs: clock.readWallTime().getTime(),
  });
  let lastClocks = readClocks();

  const localHost = {
    host: config.host.name,
    dataCentre: config.host.dataCentre,
    size: config.host.size * config.host.speed,
    protocolVersion: PROTOCOL_VERSION,
  };
  const reading = createUpstreamReading({
    clock,
    drainMs: config.upstreams.drainMs,
    getReaderRank: () => readerRank,
    isOutageRecent: () => upstreams.isOutageRecent(),
    areSettingsRecent: () => settingsReading.isRecent(),
  });
  const listVersionsElsewhere = () => hosts.listLive().map((report) => report.settingsVersion);
  const versions = createVersionNotices({
    readVersion: () => readSettings()?.version,
    listVersionsElsewhere,
    refreshSettings: (version, by) => {
      logger.writeEvent("settingsBehind", { version, by, known: readSettings()?.version ?? -1 });
      options.feed.refreshSettings();
    },
  });
  const settingsReading = createSettingsReading({
    clock,
    isLeadingReader: reading.isLeadingReader,
    isConfirmed: () => isConfirmed,
    isBehind: versions.isBehind,
  });
  const upstreams = createUpstreamView({
    clock,
    logger,
    metrics,
    handleLeaving: (upstream, isLocallyObserved) => {
      if (isLocallyObserved) {
        hosts.scheduleUrgentReport();
      }
      forwarder.migrateFrom(upstream);
    },
  });
  const evacuation = createEvacuationWiring({
    clock,
    logger,
    metrics,
    state: upstreams.state,
    scheduleUrgentReport: () => hosts.scheduleUrgentReport(),
    handleReturned: (dataCentre) => cold.recordReturn(dataCentre),
  });
  const isReady = () => readSettings() !== undefined && !isLeaving;
  const describeHost = (): LocalReport => ({
    host: config.host.name,
    incarnation,
    dataCentre: config.host.dataCentre,
    callerAddress: config.listen.callers,
    peerAddress,
    size: localHost.size,
    isReady: isReady(),
    isLeaving,
    settingsVersion: readSettings()?.version ?? 0,
    settingsEra: era,
    ...describeLoads(loads, hosts.listLive().length + 1),
    ...describeUpstreams(upstreams, reading),
    limits: limits.listReported(),
    brittle: brittle.listReported(),
    unreachableServices: reachability.listUnreachable().slice(0, HOST_LIMITS.maxReportedServices),
    protocolVersion: PROTOCOL_VERSION,
    evacuations: evacuation.listReported(),
    cold: cold.listReported(reading.isReader()),
    waiting: [],
  });
  const hosts = createFleetHosts({
    clock,
    random,
    logger,
    metrics,
    openSocket: options.openSocket,
    localHost,
    peerAddress,
    fleetKey: config.fleet.key,
    seeds: seedAddresses,
    buildReport: describeHost,
    applyReport: ({ report, ageMs }) => {
      evacuation.acceptReport({ report, ageMs });
      const sentAtMs = clock.readMonotonicMs() - ageMs;
      loads.peers.set(report.host, readPeerLoads(loads, report, sentAtMs));
      applyReportedUpstreams(upstreams, reading, { report, ageMs }, clock.readMonotonicMs());
      cold.acceptReport(report, ageMs);
      limits.acceptReport(report, ageMs);
      brittle.acceptReport(report, ageMs);
      versions.acceptVersion(report.settingsVersion, report.host);
      recordEra(report.settingsEra, report.host);
      if (report.dataCentre === localHost.dataCentre) {
        reachability.checkReported(report.host, report.unreachableServices);
      }
      settings.applyHeld();
    },
    handleJoined: () => {
      promptParts.renewNotices();
      upstreams.renewLeaving();
    },
  });
  const pauses = createPauseNotices({
    clock,
    random,
    logger,
    metrics,
    state: upstreams.state,
    hosts,
  });
  const cold = createColdNotices({
    clock,
    logger,
    state: upstreams.state,
    getService: (name) => readSettings()?.services.get(name),
    hosts,
  });
  const limits = createUpstreamLimits({
    getCold: cold.getCold,
    listCold: cold.listCold,
    clock,
    random,
    logger,
    metrics,
    localHost: config.host.name,
    incarnation,
    hosts,
    isLeaving: () => isLeaving,
  });
  const reachability = createReachability({
    clock,
    logger,
    metrics,
    random,
    probeConnection: options.probeConnection,
    listServices: () => [...readSettings()?.services.keys() ?? []],
    listUpstreams: (service) =>
      [...upstreams.state.upstreams.values()]
        .filter(({ record, status }) =>
          record.service === service && status === "ready" && !isEvacuated(upstreams.state, record)
        )
        .map(({ record }) => ({
          id: record.id,
          address: record.address,
          canProbe: limits.getLimit(record) === undefined &&
            getPauseMs(upstreams.state, record, clock.readMonotonicMs()) === 0,
        })),
    countHostsReaching: (service) =>
      hosts.listLive().filter(({ unreachableServices }) => !unreachableServices.includes(service))
        .length,
    handleChange: () => hosts.scheduleUrgentReport(),
  });
  const openExchange = createObservedExchange({
    openExchange: options.openExchange,
    dialect,
    findUpstream: ({ address, upstreamId }) => findUpstreamAt(upstreams.state, address, upstreamId),
    clock,
    recordRequest: ({ record }) => {
      if (limits.getLimit(record) !== undefined) {
        metrics.increment("upstreams.limitedRequests");
      }
      const pauseMs = getPauseMs(upstreams.state, record, clock.readMonotonicMs());
      if (pauseMs > 0) {
        logger.writeEvent("requestDuringPause", {
          upstream: record.id,
          pauseMs: Math.round(pauseMs),
        });
      }
    },
    recordUnread: () => metrics.increment("upstreams.unreadResponses"),
    recordReach: ({ record }, hasResponded, startedAtMs) => {
      const attempt = { upstreamId: record.id, service: record.service, startedAtMs };
      hasResponded ? reachability.recordContact(attempt) : reachability.recordFailure(attempt);
    },
    recordSignals: (upstream, signals, sentAtMs) => {
      if (signals.isLeaving) {
        upstreams.markLeavingBySignal(upstream);
      }
      if (signals.pauseMs > 0) {
        pauses.recordPause(upstream, signals.pauseMs);
      }
      if (signals.coldMs > 0) {
        cold.recordSignal(upstream, signals.coldMs);
      }
      if (signals.limitPerSecond !== "unreadable") {
        limits.recordObservation(upstream.record, {
          perSecond: signals.limitPerSecond,
          sentAtMs,
          receivedAtMs: clock.readMonotonicMs(),
        });
      }
      if (signals.refusalsPerSecond !== "unreadable") {
        brittle.recordObservation(upstream.record, {
          perSecond: signals.refusalsPerSecond,
          sentAtMs,
          receivedAtMs: clock.readMonotonicMs(),
        });
      }
    },
  });
  const openAllowedExchange = evacuation.createGuard(openExchange);
  const brittle = createBrittleUpstreams({
    clock,
    logger,
    metrics,
    localHost: config.host.name,
    hosts,
    canOwn: (service) => !isLeaving && !reachability.isUnreachable(service),
    listUpstreams: (service) =>
      [...upstreams.state.upstreams.values()]
        .filter(({ record, status }) =>
          record.service === service && status === "ready" && !isEvacuated(upstreams.state, record)
        )
        .map(({ record }) => record),
    countInFlight: (id) => computeLocalLoads(loads).get(id)?.inFlight ?? 0,
  });
  const handover = createHandover({
    clock,
    random,
    openExchange: options.openExchange,
    fleetKey: config.fleet.key,
    localHost: config.host.name,
    listLive: hosts.listLive,
    isUnreachable: reachability.isUnreachable,
    readSettingsVersion: () => readSettings()?.version ?? 0,
    hasEvacuations: evacuation.hasEvacuations,
  });
  const quarantine = createQuarantine({
    context: { clock, logger, random },
    membership: hosts,
    limits: GATEWAY_LIMITS.quarantine,
  });
  const promptParts = createPromptPartQuarantine({
    context: { clock, logger, metrics, random },
    membership: hosts,
  });
  const forwarder = createForwarder({
    context: {
      clock,
      random,
      logger,
      metrics,
      dialect,
      openExchange: openAllowedExchange,
      kvCache: options.createKvCache(openAllowedExchange),
      probeConnection: options.probeConnection,
      upstreams: upstreams.state,
      loads,
      limits,
      localHost: config.host.name,
      brittle,
      reachability,
      handover,
      quarantine,
      promptParts,
      budgetLimits: {
        ratio: config.retries.ratio,
        slack: config.retries.slack,
        windowMs: config.retries.windowSeconds * 1_000,
      },
      budgets: new Map(),
      countHostsSharingRetryBudget: hosts.countHostsSharingRetryBudget,
      reportLoadIncrease: () => hosts.scheduleUrgentReport(),
      reportLoadChange: () => hosts.scheduleReport(),
    },
    readSettings: () => readSettings(),
    ...{ bodyBytes: buffers.bodyBytes, answerBytes: buffers.answerBytes, releases },
    recordWritten: (socket, bytes) => guard.recordWritten(socket, bytes),
    isLeaving: () => isLeaving,
    isLateInDrain: () => clock.readMonotonicMs() - leavingSinceMs >= GATEWAY_LIMITS.minDrainMs,
    computeDrainLeft: () =>
      leavingSinceMs + computeDrainTime(config.shutdown) - clock.readMonotonicMs(),
  });

  const recordEra = (next: number, by: string) => {
    if (next <= era) {
      return;
    }
    const isRestored = era > 0;
    era = next;
    if (isRestored) {
      logger.writeEvent("storeRestored", { era, by, version: readSettings()?.version ?? -1 });
      upstreams.recordRestore();
      options.feed.refreshAll();
    }
  };
  const settings = createActiveSettings({
    clock,
    logger,
    metrics,
    listVersionsElsewhere,
    hasOtherSeeds: seedAddresses.some((address) => address !== peerAddress),
    computeAge: settingsReading.computeAge,
    handleActive: (active) => {
      listeners.applyLimits(active.settings.limits);
      reading.isReader() ? hosts.scheduleUrgentReport() : hosts.scheduleReport();
    },
  });
  const readSettings = () => settings.get()?.settings;

  const answers = createGatewayAnswers({
    directory,
    metrics,
    isReady,
    chooseAddresses: () => chooseAddresses([describeHost(), ...hosts.listLive()], random),
    maxTtlMs: config.directory.maxTtlSeconds * 1_000,
  });

  const forward = (...received: Parameters<Forwarder["handleRequest"]>) => {
    forwarder.handleRequest(...received).catch((error) => {
      logger.writeEvent("requestFailed", { request: "unknown", reason: String(error) });
      received[1].destroy();
    });
  };
  const guard = createConnectionGuard({
    clock,
    logger,
    metrics,
    descriptors: config.host.fileDescriptors,
    maxUnsentBytes: buffers.unsentBytes,
    releases,
  });
  const listeners = createGatewayListeners({
    config,
    clock,
    answers,
    guard,
    handleRequest: (request, response) => forward(request, response),
    handleHandover: (request, response) => {
      const { requestId = "" } = dialect.decodeRequest(request.rawHeaders);
      const accepted = acceptHandover(config.fleet.key, request, requestId);
      if (accepted === undefined) {
        metrics.increment("hosts.rejected");
        response.writeHead(403, { Connection: "close" }).end();
        return;
      }
      forward(request, response, accepted);
    },
    countOpen: forwarder.countOpen,
    endOpen: forwarder.endOpen,
  });

  const checkState = () => {
    const now = readClocks();
    const pause = findPause(lastClocks, now, GATEWAY_LIMITS.pauseThresholdMs);
    lastClocks = now;
    if (pause !== undefined) {
      logger.writeEvent("pauseNoticed", { ...pause, gapMs: Math.round(pause.gapMs) });
      options.feed.refreshAll();
    }
    upstreams.tick();
    reachability.tick();
    settings.applyHeld();
    const live = hosts.listLive();
    const rank = chooseReaders([localHost, ...live]).indexOf(localHost.host);
    if (rank !== readerRank) {
      readerRank = rank;
      logger.writeEvent("readerChanged", { rank, live: live.length });
    }
    const wasConfirmed = isConfirmed;
    const wasLeadingReader = isLeadingReader;
    isConfirmed = reading.isConfirmed();
    isLeadingReader = reading.isLeadingReader();
    if ((wasConfirmed && !isConfirmed) || (!wasLeadingReader && isLeadingReader)) {
      options.feed.refreshSettings(); // the running watch may wait for long on a silent connection
    }
    for (const id of loads.conduct.keys()) {
      if (!upstreams.state.upstreams.has(id)) {
        loads.conduct.delete(id);
      }
    }
    metrics.gauge("settings.age", Math.round(settingsReading.computeAge()));
    limits.tick((id) => upstreams.state.upstreams.has(id));
    brittle.tick((id) => upstreams.state.upstreams.has(id));
  };
  const tick = () => {
    try {
      checkState();
    } finally {
      timer = clock.startTimer(GATEWAY_LIMITS.tickMs, tick);
    }
  };

  const stop = () => {
    timer?.cancel();
    forwarder.stop();
    limits.stop();
    options.feed.stop();
    hosts.stop();
    listeners.close();
  };

  const leave = async () => {
    isLeaving = true;
    hosts.scheduleUrgentReport();
    leavingSinceMs = clock.readMonotonicMs();
    logger.writeEvent("gatewayLeaving", { running: forwarder.countRunning() });
    await listeners.drain();
    logger.writeEvent("gatewayStopped", { running: forwarder.countRunning() });
    stop();
  };

  return {
    start: async () => {
      await hosts.start();
      options.feed.start({
        applySettings: settings.apply,
        ...evacuation.listener,
        applyUpstream: (record) => cold.observeRecord(record, () => upstreams.applyRecord(record)),
        removeUpstream: upstreams.removeRecord,
        applyUpstreamList: upstreams.applyList,
        recordSettingsRead: settingsReading.recordRead,
        recordUpstreamsRead: (readAtMs) => {
          reading.recordRead(readAtMs);
          if (reading.isReportDue()) {
            hosts.scheduleReport();
          }
        },
        recordEra: (next) => recordEra(next, "settings service"),
        recordAvailability: (isAvailable, detail) => {
          upstreams.recordServiceResponding(isAvailable);
          logger.writeEvent(isAvailable ? "settingsFeedRegained" : "settingsFeedLost", {
            detail,
            version: readSettings()?.version ?? -1,
          });
        },
        rejectValue: (key, reason) => logger.writeEvent("publishedValueRejected", { key, reason }),
      }, {
        computeReadDelay: reading.computeReadDelay,
        computeSettingsPollTimeout: settingsReading.computePollTimeout,
        maxBackoffMs: config.upstreams.drainMs * GATEWAY_LIMITS.maxBackoffShareOfDrain,
      });
      await listeners.open();
      forwarder.start();
      tick();
      logger.writeEvent("gatewayStarted", { incarnation, dataCentre: config.host.dataCentre });
    },
    leave: () => leaving ??= leave(),
    stop,
    setSeeds: (seeds) => hosts.setSeeds(listSeedAddresses(seeds, config.listen.peerPort)),
  };
}
