import type { Timer } from "@crocussail/protocol";
import type { SettingsSource } from "../adapters/settings_source.ts";
import type { DaemonContext } from "../common/daemon_context.ts";
import type { Membership } from "../membership/mod.ts";
import type { PeerAddress, PeerTransport } from "../peers/mod.ts";
import { SETTINGS_LIMITS } from "./constants.ts";
import { createSettingsAgent } from "./create_settings_agent.ts";
import { createSettingsView } from "./create_settings_view.ts";
import { dumpSettingsPaths } from "./dump_settings_paths.ts";
import { selectSettingsPage } from "./select_settings_page.ts";
import { settingsDigestSchema } from "./settings_digest_schema.ts";
import type { SettingsEffect } from "./settings_effect.ts";
import type { SettingsEvent } from "./settings_event.ts";
import { settingsMessageSchema } from "./settings_message_schema.ts";
import type { SettingsMessage } from "./settings_message_schema.ts";
import { settingsPageSchema } from "./settings_page_schema.ts";
import type { SettingsPage } from "./settings_page_schema.ts";
import { createSettingsState } from "./settings_state.ts";
import type { SettingsView } from "../common/settings_view.ts";

/** Options of {@link createSettings}. */
export interface SettingsOptions {
  readonly context: Pick<DaemonContext, "clock" | "logger" | "random" | "config">;
  readonly source: SettingsSource;
}

/** Interfaces of slices that are created after this one. */
export interface SettingsFleet {
  readonly peers: PeerTransport;
  readonly membership: Pick<Membership, "listLiveHosts" | "registerPayload">;
}

/** Settings slice: keeps the newest accepted value of each path. */
export interface Settings {
  readonly view: SettingsView;
  /** Looks up a peer's address in the published hosts, then in the configured seeds. */
  findPeerAddress(host: string): PeerAddress | undefined;
  /** Connects the slice to the peers and the membership; called once, before `start`. */
  joinFleet(fleet: SettingsFleet): void;
  /** Starts reading and watching; resolves when ready, or after `startWaitMs`. */
  start(): Promise<void>;
  stop(): void;
  /** False until the settings were compared with peers, after a start or a pause of the process. */
  isReady(): boolean;
  dumpState(): unknown;
}

const CHANNEL = "settings";

/** Creates the settings slice. */
export function createSettings(options: SettingsOptions): Settings {
  const { clock, logger, random, config } = options.context;
  const self = config.host.name;
  const state = createSettingsState();
  const listeners = new Set<() => void>();
  const agent = createSettingsAgent({
    host: self,
    dataCentre: config.host.dataCentre,
    nowMs: clock.readMonotonicMs(),
    nextFloat: random.nextFloat,
    state,
  });
  let fleet: SettingsFleet | undefined;
  let stopWatch = () => {};
  let timer: Timer | undefined;
  let isStopped = false;
  let resolveStart = () => {};

  const view = createSettingsView(state, (listener) => {
    listeners.add(listener);
    return () => listeners.delete(listener);
  });
  const listPeers = () => {
    const live = [...view.getHosts()].filter(([, host]) => host.state === "live");
    // Live published hosts and configured seeds.
    const known = [...live.map(([name]) => name), ...config.peers.seeds.keys()];
    return [...new Set(known)].filter((name) => name !== self);
  };
  const listNeighbours = () => {
    const hosts = view.getHosts();
    const live = fleet?.membership.listLiveHosts() ?? [];
    return live.filter((name) => hosts.get(name)?.dataCentre === config.host.dataCentre);
  };

  const dispatch = (event: SettingsEvent) => {
    if (isStopped) {
      return;
    }
    agent.applyEvent(event, clock.readMonotonicMs()).forEach(applyEffect);
    if (isReady()) {
      resolveStart();
    }
  };
  const dispatchTick = () =>
    dispatch({ type: "tick", neighbours: listNeighbours(), peers: listPeers() });
  /** Until the settings are ready, runs a tick after every response, not only at the interval. */
  const dispatchResponse = (event: SettingsEvent) => {
    dispatch(event);
    if (!isReady()) {
      dispatchTick();
    }
  };

  const applyEffect = (effect: SettingsEffect) => {
    switch (effect.type) {
      case "read":
        return void readAll();
      case "probe":
        return void readRevision();
      case "openWatch":
        return openWatch(effect.after);
      case "closeWatch":
        return stopWatch();
      case "ask":
        return void ask(effect.host);
      case "pull":
        return void pull(effect);
      case "offer":
        return sendOffer(effect.host);
      case "notify":
        return listeners.forEach((listener) => listener());
      case "log":
        return logger.writeEvent(effect.event, effect.fields);
    }
  };
  const readAll = async () =>
    dispatchResponse(
      (await options.source.readAll()).caseOf<SettingsEvent>({
        Left: (error) => ({ type: "readFailed", detail: error.detail }),
        Right: (batch) => ({ type: "readAnswered", batch }),
      }),
    );
  const readRevision = async () =>
    dispatch(
      (await options.source.readRevision()).caseOf<SettingsEvent>({
        Left: (error) => ({ type: "probeFailed", detail: error.detail }),
        Right: (revision) => ({ type: "probeAnswered", revision }),
      }),
    );
  const openWatch = (after: number) => {
    stopWatch();
    stopWatch = options.source.watchAfter(after, {
      handleBatch: (batch) => dispatch({ type: "watchBatch", batch }),
      handleEnd: (error) => {
        const isCompacted = error.code === "settingsRevisionCompacted";
        dispatch({ type: "watchEnded", detail: error.detail, isCompacted });
      },
    });
  };

  /** Sends a message to a peer and validates the page that it returns. */
  const requestPage = async (host: string, message: SettingsMessage) => {
    const answer = await fleet?.peers.requestReply(
      host,
      CHANNEL,
      message,
      SETTINGS_LIMITS.peerTimeoutMs,
    );
    const parsed = settingsPageSchema.safeParse(answer?.toMaybe().extract());
    return parsed.success ? parsed.data : undefined;
  };
  const ask = async (host: string) => {
    const page = await requestPage(host, { kind: "ask" });
    dispatchResponse(
      page === undefined
        ? { type: "askFailed", from: host }
        : { type: "peerDigest", from: host, digest: page.digest },
    );
  };
  const pull = async ({ host, comparesAll, after }: SettingsEffect & { type: "pull" }) => {
    const page = await requestPage(host, {
      kind: "pull",
      known: state.getHighestRevision(),
      ...(comparesAll ? { buckets: state.digest.copyBuckets() } : {}),
      ...(after === undefined ? {} : { after }),
    });
    dispatchResponse(
      page === undefined
        ? { type: "pullFailed", from: host }
        : { type: "pageReceived", from: host, page },
    );
  };
  const sendOffer = (host: string) => {
    const offer: SettingsMessage = { kind: "offer", digest: buildDigest() };
    fleet?.peers.sendMessage(host, CHANNEL, offer);
  };
  const buildDigest = () => agent.buildDigest(clock.readMonotonicMs());
  const handlePeerMessage = (from: string, message: unknown): SettingsPage | undefined => {
    const parsed = settingsMessageSchema.parse(message);
    switch (parsed.kind) {
      case "ask":
        return { digest: buildDigest(), updates: [] };
      case "offer":
        dispatch({ type: "peerDigest", from, digest: parsed.digest });
        return undefined;
      case "pull":
        return { digest: buildDigest(), ...selectSettingsPage(state, parsed) };
    }
  };

  const runTicks = () => {
    dispatchTick();
    timer = clock.startTimer(SETTINGS_LIMITS.tickMs, runTicks);
  };
  const isReady = () => agent.isReady(clock.readMonotonicMs());

  return {
    view,
    findPeerAddress: (host) => {
      const found = view.getHosts().get(host);
      return found === undefined
        ? config.peers.seeds.get(host)
        : { address: found.address, port: found.peerPort };
    },
    joinFleet: (joined) => {
      fleet = joined;
      joined.peers.registerHandler(CHANNEL, handlePeerMessage);
      joined.membership.registerPayload({
        name: CHANNEL,
        collectPayload: buildDigest,
        applyPayload: (from, payload) => {
          const parsed = settingsDigestSchema.safeParse(payload);
          if (parsed.success) {
            dispatch({ type: "peerDigest", from, digest: parsed.data });
          }
        },
      });
    },
    start: () => {
      const started = new Promise<void>((resolve) => {
        resolveStart = resolve;
        clock.startTimer(SETTINGS_LIMITS.startWaitMs, resolve);
      });
      runTicks();
      return started;
    },
    stop: () => {
      isStopped = true;
      timer?.cancel();
      stopWatch();
    },
    isReady,
    dumpState: () => ({
      revision: view.getRevision(),
      ...agent.dumpState(clock.readMonotonicMs()),
      ...dumpSettingsPaths(state),
    }),
  };
}
