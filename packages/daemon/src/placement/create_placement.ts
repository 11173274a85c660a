import type { Timer, UpstreamSettings } from "@crocussail/protocol";
import type { PlacementClient } from "../adapters/placement_client.ts";
import type { PlacementCopy } from "../adapters/placement_copy_schema.ts";
import type { PlacementStatus } from "../adapters/placement_status_schema.ts";
import type { DaemonContext } from "../common/daemon_context.ts";
import { rankByRendezvous } from "../common/rank_by_rendezvous.ts";
import type { Membership } from "../membership/mod.ts";
import type { SettingsView } from "../settings/mod.ts";
import { computeWantedPlacement } from "./compute_wanted_placement.ts";
import { PLACEMENT_LIMITS } from "./constants.ts";
import { createLoadSlots } from "./create_load_slots.ts";
import type { LoadSlot } from "./create_load_slots.ts";
import { placementMessageSchema } from "./placement_message_schema.ts";
import type { PlacementMessage } from "./placement_message_schema.ts";
import { placementReplySchema } from "./placement_reply_schema.ts";
import type { PlacementReply } from "./placement_reply_schema.ts";
import { runEngineStep } from "./run_engine_step.ts";
import type { EngineStepResult } from "./run_engine_step.ts";

/** Options of {@link createPlacement}. */
export interface PlacementOptions {
  readonly context: Pick<DaemonContext, "clock" | "config" | "logger" | "peers">;
  readonly settings: SettingsView;
  readonly membership: Pick<Membership, "listLiveHosts" | "isViewFresh">;
  readonly client: PlacementClient;
  /** Whether the settings have been compared with peers since the start or a process pause. */
  readonly isSettingsReady: () => boolean;
}

/** Placement slice: keeps models, adapters, versions and roles on engines as the settings state. */
export interface Placement {
  start(): void;
  stop(): void;
  dumpState(): unknown;
}

interface OwnedEngine {
  isBusy: boolean;
  retryAtMs: number;
  last: string;
  slot?: LoadSlot | undefined;
}

const CHANNEL = "placement";

/** Creates the placement slice. */
export function createPlacement(options: PlacementOptions): Placement {
  const { settings, membership, client } = options;
  const { clock, config, logger, peers } = options.context;
  const self = config.host.name;
  const owned = new Map<string, OwnedEngine>();
  const failedAtMs = new Map<string, number>();
  let cachedWanted: { revision: number; wanted: ReadonlyMap<string, PlacementCopy> } | undefined;
  let timer: Timer | undefined;

  const requestPeer = async (
    host: string,
    message: PlacementMessage,
  ): Promise<PlacementReply | undefined> => {
    const answer = await peers.requestReply(host, CHANNEL, message, PLACEMENT_LIMITS.confirmMs);
    return placementReplySchema.safeParse(answer.toMaybe().extract()).data;
  };
  const slots = createLoadSlots({ context: options.context, settings, membership, requestPeer });

  const getWanted = () => {
    const revision = settings.getRevision();
    if (cachedWanted?.revision !== revision) {
      const input = { models: settings.getModels(), upstreams: settings.getUpstreams() };
      cachedWanted = { revision, wanted: computeWantedPlacement(input) };
    }
    return cachedWanted;
  };
  const findOwner = (engine: string, upstream: UpstreamSettings): string | undefined => {
    const hosts = settings.getHosts();
    const live = membership.listLiveHosts();
    const near = live.filter((name) => hosts.get(name)?.dataCentre === upstream.dataCentre);
    return rankByRendezvous(`placement/${engine}`, near.length > 0 ? near : live)[0];
  };
  const listModelsInUse = () => {
    const teams = settings.listTeams().flatMap((team) =>
      settings.getTeam(team)?.access.models ?? []
    );
    return new Set([...settings.getModels().keys(), ...teams]);
  };
  const describeCopy = (engine: string, copy: PlacementCopy) =>
    [engine, copy.model, copy.version, ...copy.adapters].join("\0");
  const hasFailed = (engine: string, wanted: PlacementCopy | undefined, nowMs: number) => {
    const atMs = wanted === undefined ? undefined : failedAtMs.get(describeCopy(engine, wanted));
    return atMs !== undefined && nowMs - atMs < PLACEMENT_LIMITS.failedRetryMs;
  };

  /**
   * Queries a few peers; with this host, a majority must name it as the owner, and none may have
   * newer settings.
   */
  const confirmOrder = async (engine: string, fence: number): Promise<boolean> => {
    const others = membership.listLiveHosts().filter((name) => name !== self);
    const queried = rankByRendezvous(`confirm/${engine}`, others)
      .slice(0, PLACEMENT_LIMITS.confirmPeers);
    const replies = await Promise.all(
      queried.map((name) => requestPeer(name, { kind: "confirm", engine })),
    );
    const answered = replies.filter((reply) => reply?.fence !== undefined);
    const isNewest = answered.every((reply) => (reply?.fence ?? 0) <= fence);
    const supporterCount = answered.filter((reply) => reply?.owner === self).length;
    return isNewest && supporterCount * 2 >= queried.length && settings.getRevision() === fence;
  };
  const listHolders = (model: string, engine: string) =>
    [...getWanted().wanted]
      .filter(([name, copy]) => name !== engine && copy.model === model)
      .flatMap(([name]) => settings.getUpstreams().get(name)?.url ?? []);

  const recordFailures = (engine: string, observed: PlacementStatus) => {
    for (const copy of observed.copies.filter((candidate) => candidate.state === "failed")) {
      const key = describeCopy(engine, { ...copy, adapters: [...copy.adapters].sort() });
      const [oldest] = failedAtMs.keys();
      if (failedAtMs.size >= PLACEMENT_LIMITS.maxFailedVersions && oldest !== undefined) {
        failedAtMs.delete(oldest);
      }
      failedAtMs.set(key, clock.readMonotonicMs());
      const { model, version } = copy;
      logger.writeEvent("placementVersionFailed", { engine, model, version });
    }
  };
  const finishStep = (engine: string, state: OwnedEngine, result: EngineStepResult) => {
    const { decision, observed } = result;
    if (observed !== undefined) {
      recordFailures(engine, observed);
    }
    if (state.slot !== undefined && observed?.copies.every((copy) => copy.state !== "loading")) {
      state.slot.release();
      state.slot = undefined;
    }
    state.slot = result.slot ?? state.slot;
    const isAbsent = decision.type === "absent";
    state.retryAtMs = isAbsent ? clock.readMonotonicMs() + PLACEMENT_LIMITS.absentRetryMs : 0;
    const last = decision.type === "wait" ? `wait: ${decision.reason}` : decision.type;
    if (last === "wait: full" && state.last !== last) {
      logger.writeEvent("placementBlocked", { engine });
    }
    state.last = last;
  };

  const runStep = async (engine: string, upstream: UpstreamSettings, state: OwnedEngine) => {
    const { revision, wanted } = getWanted();
    const copy = wanted.get(engine);
    state.isBusy = true;
    const result = await runEngineStep({
      engine,
      url: upstream.url,
      checksFencing: upstream.checksFencing,
      wanted: copy,
      fence: revision,
      modelsInUse: listModelsInUse(),
      hasFailed: hasFailed(engine, copy, clock.readMonotonicMs()),
    }, {
      clock,
      logger,
      client,
      listHolders,
      confirmOrder,
      acquireSlot: (name) => slots.acquireSlot(upstream.dataCentre, name),
    });
    state.isBusy = false;
    finishStep(engine, state, result);
  };

  const runEngines = () => {
    const nowMs = clock.readMonotonicMs();
    const engines = [...settings.getUpstreams()].filter(([name, upstream]) =>
      upstream.kind === "engine" && upstream.state === "live" &&
      findOwner(name, upstream) === self
    );
    const names = new Set(engines.map(([name]) => name));
    for (const [name, state] of owned) {
      if (!names.has(name) && !state.isBusy) {
        owned.delete(name);
      }
    }
    for (const [name, upstream] of engines) {
      const state = owned.get(name) ?? { isBusy: false, retryAtMs: 0, last: "new" };
      owned.set(name, state);
      if (!state.isBusy && nowMs >= state.retryAtMs) {
        void runStep(name, upstream, state);
      }
    }
  };
  const runTick = () => {
    if (options.isSettingsReady() && membership.isViewFresh()) {
      slots.tick();
      runEngines();
    }
    timer = clock.startTimer(PLACEMENT_LIMITS.tickMs, runTick);
  };

  const answerPeer = (from: string, input: unknown): PlacementReply | undefined => {
    const message = placementMessageSchema.parse(input);
    switch (message.kind) {
      case "vote":
        return { isPromised: slots.handleVoteRequest(message.dataCentre, from) };
      case "slot": {
        const lease = slots.handleSlotRequest(message.dataCentre, message.engine, from);
        return lease === undefined ? {} : { lease };
      }
      case "release":
        slots.releaseSlot(message.dataCentre, message.engine, message.lease);
        return {};
      case "confirm": {
        const upstream = settings.getUpstreams().get(message.engine);
        const owner = upstream === undefined ? undefined : findOwner(message.engine, upstream);
        return { fence: settings.getRevision(), ...(owner === undefined ? {} : { owner }) };
      }
    }
  };
  peers.registerHandler(CHANNEL, answerPeer);

  return {
    start: runTick,
    stop: () => timer?.cancel(),
    dumpState: () => ({
      revision: getWanted().revision,
      wanted: getWanted().wanted.size,
      owned: Object.fromEntries([...owned].map(([name, state]) => [name, {
        last: state.last,
        isLoading: state.slot !== undefined,
        wanted: getWanted().wanted.get(name),
      }])),
      slots: slots.dumpState(),
    }),
  };
}
