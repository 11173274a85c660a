import {
  createSeededRandom,
  createSettingsAgent,
  createSettingsState,
  selectSettingsPage,
} from "@crocussail/daemon";
import type {
  SettingsAgent,
  SettingsEffect,
  SettingsEvent,
  SettingsState,
  SettingsUpdate,
} from "@crocussail/daemon";
import { createEventTable } from "./create_event_table.ts";
import type { SettingsModel, SettingsModelOptions } from "./settings_model.ts";

interface ModelDaemon {
  readonly index: number;
  readonly agent: SettingsAgent;
  readonly state: SettingsState;
  isRunning: boolean;
  isWatching: boolean;
}

const TICK_MS = 250;
const HEARTBEAT_MS = 1_000;
const SERVICE_LATENCY_MS = 4;
const PEER_LATENCY_MS = 2;
const PEER_JITTER_MS = 40;
const TIMEOUT_MS = 2_000;
const RATE_SLOT_MS = 100;
/** Values published before the first daemon starts. */
const INITIAL_VALUES = 20;

/**
 * Creates a fleet of stopped daemons. As soon as a daemon has any settings, it knows all running
 * daemons, as if from the published list of hosts.
 */
export function createSettingsModel(options: SettingsModelOptions): SettingsModel {
  const table = createEventTable();
  const { nextFloat } = createSeededRandom(options.seed);
  const changes: SettingsUpdate[] = [];
  const daemons: (ModelDaemon | undefined)[] = [];
  const calls = new Map<number, number>();
  let pullCount = 0;
  let offerCount = 0;
  let isServiceDown = false;
  let visibleCount: number | undefined;

  const formatHost = (index: number) => `h${index}`;
  const formatDataCentre = (index: number) => `dc${index % options.dataCentres}`;
  let running: readonly ModelDaemon[] | undefined;
  const listRunning = () => {
    running ??= daemons.flatMap((daemon) => daemon?.isRunning ? [daemon] : []);
    return running;
  };
  const findDaemon = (host: string) => daemons[Number(host.slice(1))];

  const listVisible = () => changes.slice(0, visibleCount ?? changes.length);
  const readRevision = () => listVisible().at(-1)?.revision ?? 0;
  const listValues = () =>
    [...new Map(listVisible().map((change) => [change.path, change])).values()]
      .filter((change) => change.text !== undefined);
  const callService = (answer: () => void, fail: () => void) => {
    const slot = Math.floor(table.readNowMs() / RATE_SLOT_MS);
    calls.set(slot, (calls.get(slot) ?? 0) + 1);
    table.schedule(SERVICE_LATENCY_MS, isServiceDown ? fail : answer);
  };
  const publish = (path: string, text?: string): number => {
    const revision = changes.length + 1;
    const change = { path, revision, ...(text === undefined ? {} : { text }) };
    changes.push(change);
    const watchers = listRunning().filter((daemon) => daemon.isWatching);
    for (const daemon of visibleCount === undefined ? watchers : []) {
      table.schedule(SERVICE_LATENCY_MS, () => {
        if (daemon.isWatching) {
          dispatch(daemon, { type: "watchBatch", batch: { revision, values: [change] } });
        }
      });
    }
    return revision;
  };
  const cutWatches = () => {
    for (const daemon of listRunning().filter((candidate) => candidate.isWatching)) {
      daemon.isWatching = false;
      dispatch(daemon, { type: "watchEnded", detail: "cut", isCompacted: false });
    }
  };

  const dispatch = (daemon: ModelDaemon, event: SettingsEvent) => {
    if (daemon.isRunning) {
      daemon.agent.applyEvent(event, table.readNowMs())
        .forEach((effect) => applyEffect(daemon, effect));
    }
  };
  /** Delivers a message to a peer unless the message is lost or the peer isn't running. */
  const deliver = (host: string, run: (peer: ModelDaemon) => void) => {
    if (nextFloat() >= (options.loss ?? 0)) {
      table.schedule(PEER_LATENCY_MS + nextFloat() * PEER_JITTER_MS, () => {
        const peer = findDaemon(host);
        if (peer?.isRunning) {
          run(peer);
        }
      });
    }
  };
  const callPeer = (
    daemon: ModelDaemon,
    host: string,
    answer: (peer: ModelDaemon) => SettingsEvent,
    failure: SettingsEvent,
  ) => {
    let isSettled = false;
    const settle = (event: SettingsEvent) => {
      if (!isSettled) {
        isSettled = true;
        dispatch(daemon, event);
      }
    };
    table.schedule(TIMEOUT_MS, () => settle(failure));
    deliver(host, (peer) => {
      const event = answer(peer);
      deliver(formatHost(daemon.index), () => settle(event));
    });
  };

  const applyEffect = (daemon: ModelDaemon, effect: SettingsEffect) => {
    const from = formatHost(daemon.index);
    switch (effect.type) {
      case "read":
        return callService(() => {
          const batch = { revision: readRevision(), values: listValues() };
          dispatch(daemon, { type: "readAnswered", batch });
        }, () => dispatch(daemon, { type: "readFailed", detail: "down" }));
      case "probe":
        return callService(
          () => dispatch(daemon, { type: "probeAnswered", revision: readRevision() }),
          () => dispatch(daemon, { type: "probeFailed", detail: "down" }),
        );
      case "openWatch":
        return callService(() => {
          daemon.isWatching = true;
          const values = listVisible().filter((change) => change.revision > effect.after);
          dispatch(daemon, { type: "watchBatch", batch: { revision: readRevision(), values } });
        }, () => dispatch(daemon, { type: "watchEnded", detail: "down", isCompacted: false }));
      case "closeWatch":
        daemon.isWatching = false;
        return;
      case "ask":
        return callPeer(daemon, effect.host, (peer) => ({
          type: "peerDigest",
          from: effect.host,
          digest: peer.agent.buildDigest(table.readNowMs()),
        }), { type: "askFailed", from: effect.host });
      case "pull": {
        pullCount += 1;
        const request = {
          known: daemon.state.getHighestRevision(),
          buckets: effect.comparesAll ? daemon.state.digest.copyBuckets() : undefined,
          after: effect.after,
        };
        return callPeer(daemon, effect.host, (peer) => ({
          type: "pageReceived",
          from: effect.host,
          page: {
            digest: peer.agent.buildDigest(table.readNowMs()),
            ...selectSettingsPage(peer.state, request),
          },
        }), { type: "pullFailed", from: effect.host });
      }
      case "offer": {
        offerCount += 1;
        const digest = daemon.agent.buildDigest(table.readNowMs());
        return deliver(
          effect.host,
          (peer) => dispatch(peer, { type: "peerDigest", from, digest }),
        );
      }
    }
  };

  const runTick = (daemon: ModelDaemon) => {
    if (!daemon.isRunning) {
      return;
    }
    const hasHostList = daemon.state.getRevision() > 0;
    const live = hasHostList ? listRunning().filter((peer) => peer !== daemon) : [];
    const dataCentre = formatDataCentre(daemon.index);
    const neighbours = live.filter((peer) => formatDataCentre(peer.index) === dataCentre)
      .map((peer) => formatHost(peer.index));
    const peers = live.map((peer) => formatHost(peer.index));
    dispatch(daemon, { type: "tick", neighbours, peers });
    table.schedule(TICK_MS, () => runTick(daemon));
  };
  /** Sends heartbeats to neighbours at distances of powers of two, about log2(n) + 2 of them. */
  const runHeartbeat = (daemon: ModelDaemon) => {
    if (!daemon.isRunning) {
      return;
    }
    const from = formatHost(daemon.index);
    const digest = daemon.agent.buildDigest(table.readNowMs());
    for (let distance = 1; distance < options.daemons; distance *= 2) {
      const host = formatHost((daemon.index + distance) % options.daemons);
      deliver(host, (peer) => dispatch(peer, { type: "peerDigest", from, digest }));
    }
    table.schedule(HEARTBEAT_MS, () => runHeartbeat(daemon));
  };

  for (let index = 0; index < INITIAL_VALUES; index++) {
    publish(`models/m${index}`, "version = 1\n");
  }

  return {
    readNowMs: table.readNowMs,
    advance: (ms) => table.runUntil(table.readNowMs() + ms),
    publish,
    setServiceDown: (isDown) => {
      isServiceDown = isDown;
      cutWatches();
    },
    setServiceStale: (isStale) => {
      visibleCount = isStale ? changes.length : undefined;
      cutWatches();
    },
    startDaemon: (index) => {
      const state = createSettingsState();
      const agent = createSettingsAgent({
        host: formatHost(index),
        dataCentre: formatDataCentre(index),
        nowMs: table.readNowMs(),
        nextFloat,
        state,
      });
      const daemon = { index, agent, state, isRunning: true, isWatching: false };
      daemons[index] = daemon;
      running = undefined;
      table.schedule(nextFloat() * TICK_MS, () => runTick(daemon));
      table.schedule(nextFloat() * HEARTBEAT_MS, () => runHeartbeat(daemon));
    },
    stopDaemon: (index) => {
      const daemon = daemons[index];
      if (daemon !== undefined) {
        daemon.isRunning = false;
        running = undefined;
        daemon.isWatching = false;
      }
    },
    getState: (index) => {
      const daemon = daemons[index];
      if (daemon === undefined) {
        throw new Error(`daemon ${index} was never started`);
      }
      return daemon.state;
    },
    isReady: (index) => daemons[index]?.agent.isReady(table.readNowMs()) ?? false,
    measureSpread: (path, revision, timeoutMs) => {
      const startMs = table.readNowMs();
      const isActive = (daemon: ModelDaemon) =>
        (daemon.state.getEntry(path)?.accepted?.update.revision ?? 0) >= revision;
      while (!listRunning().every(isActive) && table.readNowMs() - startMs < timeoutMs) {
        table.runUntil(table.readNowMs() + 10);
      }
      return listRunning().every(isActive) ? table.readNowMs() - startMs : Number.POSITIVE_INFINITY;
    },
    countPeakCalls: () => {
      const slots = [...calls.keys()];
      const slotsPerSecond = 1_000 / RATE_SLOT_MS;
      const countFrom = (first: number) =>
        Array.from({ length: slotsPerSecond }, (_, step) => calls.get(first + step) ?? 0)
          .reduce((sum, count) => sum + count, 0);
      return Math.max(0, ...slots.map(countFrom));
    },
    resetCalls: () => calls.clear(),
    countExchanges: () => ({ pulls: pullCount, offers: offerCount }),
  };
}
