import type { Timer } from "@crocussail/protocol";
import type { LoadClient } from "../adapters/load_client.ts";
import type { DaemonContext } from "../common/daemon_context.ts";
import type { SettingsView } from "../settings/mod.ts";
import type { AdmissionMessage } from "./admission_message_schema.ts";
import type { AdmissionReply } from "./admission_reply_schema.ts";
import { computeOwnerWaits } from "./compute_owner_waits.ts";
import { ADMISSION_LIMITS } from "./constants.ts";
import { ENTRY_CONVERSION } from "./entry_conversion.ts";
import { createLengthPredictor } from "./create_length_predictor.ts";
import type { OwnerDirectory } from "./create_owner_directory.ts";
import type { CacheEvent } from "./create_prefix_index.ts";
import { decideOwner } from "./decide_owner.ts";
import type { OwnerEffect } from "./owner_effect.ts";
import type { OwnerEvent } from "./owner_event.ts";
import { createOwnerState } from "./owner_state.ts";
import type { OwnerState } from "./owner_state.ts";

/** Options of {@link createOwnerService}. */
export interface OwnerServiceOptions {
  readonly context: Pick<DaemonContext, "clock" | "logger" | "metrics">;
  readonly settings: SettingsView;
  readonly load: LoadClient;
  readonly directory: OwnerDirectory;
  /** Name of this host. */
  readonly host: string;
  readonly sendMessage: (host: string, message: AdmissionMessage) => void;
  /** Called with each load report, which states whether the engine is draining. */
  readonly recordLeaving: (upstream: string, isLeaving: boolean) => void;
  readonly applyCacheEvents: (upstream: string, events: readonly CacheEvent[]) => void;
  readonly getCacheSequence: (upstream: string) => number;
}

/** Owner side of admission: counts the generations on each upstream that this host owns. */
export interface OwnerService {
  answerAsk(from: string, message: AdmissionMessage & { type: "ask" }): AdmissionReply;
  handleRenewal(from: string, message: AdmissionMessage & { type: "renew" }): void;
  handleAdoption(message: AdmissionMessage & { type: "adopt" }): void;
  handleRelease(message: AdmissionMessage & { type: "release" }): void;
  /** Stops granting on an upstream. */
  markLeaving(upstream: string): void;
  start(): void;
  stop(): void;
  dumpState(): unknown;
}

interface OwnedUpstream {
  readonly state: OwnerState;
  /** Entry daemon of each queued entry, and the time at which its place's lease expires. */
  readonly places: Map<string, { readonly host: string; readonly untilMs: number }>;
  usedMs: number;
  isPolling: boolean;
}

/** Creates the owner side; the number of owned upstreams is bounded by the settings. */
export function createOwnerService(options: OwnerServiceOptions): OwnerService {
  const { context, settings, load } = options;
  const owned = new Map<string, OwnedUpstream>();
  const predictor = createLengthPredictor();
  let timer: Timer | undefined;

  const isOwner = (upstream: string) => options.directory.findOwner(upstream) === options.host;

  const getOwned = (upstream: string): OwnedUpstream => {
    const nowMs = context.clock.readMonotonicMs();
    const known = owned.get(upstream);
    if (known !== undefined) {
      known.usedMs = nowMs;
      return known;
    }
    const published = settings.getUpstreams().get(upstream);
    const state = createOwnerState({
      upstream,
      maxBatch: published?.maxBatch ?? 1,
      capacityTokens: published?.capacityTokens ?? ADMISSION_LIMITS.defaultCapacityTokens,
      predictor,
      nowMs,
    });
    const created = { state, places: new Map(), usedMs: nowMs, isPolling: false };
    owned.set(upstream, created);
    context.logger.writeEvent("admissionOwnershipTaken", { upstream });
    void pollEngine(upstream, created);
    return created;
  };

  /** Applies an event; effects for entries other than `requestedId` go to their entry daemons. */
  const applyEvent = (
    upstream: OwnedUpstream,
    event: OwnerEvent,
    requestedId?: string,
  ): OwnerEffect | undefined => {
    const effects = decideOwner(upstream.state, event, context.clock.readMonotonicMs());
    effects.filter((effect) => effect.id !== requestedId).forEach((each) =>
      sendEffect(upstream, each)
    );
    return effects.findLast((effect) => effect.id === requestedId);
  };

  const sendEffect = (upstream: OwnedUpstream, effect: OwnerEffect) => {
    const place = upstream.places.get(effect.id);
    const name = upstream.state.upstream;
    if (place === undefined || effect.type === "place") {
      return;
    }
    upstream.places.delete(effect.id);
    const { id } = effect;
    const message: AdmissionMessage = effect.type === "grant"
      ? { type: "granted", upstream: name, id }
      : {
        type: "refused",
        upstream: name,
        id,
        reason: effect.reason,
        retryAfterMs: effect.retryAfterMs,
      };
    options.sendMessage(place.host, message);
  };

  const pollEngine = async (name: string, upstream: OwnedUpstream) => {
    const url = settings.getUpstreams().get(name)?.url;
    if (upstream.isPolling || url === undefined) {
      return;
    }
    upstream.isPolling = true;
    const report = await load.readLoad(url);
    const events = await load.readCacheEvents(url, options.getCacheSequence(name));
    upstream.isPolling = false;
    events.ifRight((records) => options.applyCacheEvents(name, records));
    report.ifRight((record) => {
      const event: OwnerEvent = {
        type: "report",
        report: {
          running: record.running,
          waiting: record.waiting,
          usedTokens: record.used_tokens,
          capacityTokens: record.capacity_tokens,
          preemptions: record.preemptions,
          leaving: record.leaving,
        },
      };
      options.recordLeaving(name, record.leaving);
      if (!record.leaving && settings.getUpstreams().get(name)?.state === "live") {
        applyEvent(upstream, { type: "drainEnded" });
      }
      applyEvent(upstream, event);
      const tags = { upstream: name };
      context.metrics.gauge("admission.headroom", upstream.state.headroom.share, tags);
      context.metrics.gauge("admission.queued", upstream.state.queue.size, tags);
    });
  };

  const expirePlaces = (upstream: OwnedUpstream, nowMs: number) => {
    for (const [id, place] of upstream.places) {
      if (place.untilMs <= nowMs) {
        upstream.places.delete(id);
        applyEvent(upstream, { type: "withdraw", id });
      }
    }
  };

  const tickUpstreams = () => {
    options.directory.refreshView();
    const nowMs = context.clock.readMonotonicMs();
    for (const [name, upstream] of owned) {
      const published = settings.getUpstreams().get(name);
      const isOwned = published !== undefined && isOwner(name);
      const isIdle = upstream.state.running.size + upstream.state.queue.size === 0;
      if (!isOwned && isIdle && nowMs - upstream.usedMs > ADMISSION_LIMITS.formerOwnerTtlMs) {
        owned.delete(name);
        continue;
      }
      if (published?.state !== "live") {
        applyEvent(upstream, { type: "leave" });
      }
      expirePlaces(upstream, nowMs);
      applyEvent(upstream, { type: "tick" });
      void pollEngine(name, upstream);
    }
    for (const [name, published] of settings.getUpstreams()) {
      if (published.kind === "engine" && isOwner(name)) {
        getOwned(name);
      }
    }
    timer = context.clock.startTimer(ADMISSION_LIMITS.pollMs, tickUpstreams);
  };

  return {
    answerAsk: (from, message) => {
      const upstream = getOwned(message.upstream);
      const nowMs = context.clock.readMonotonicMs();
      const entry = ENTRY_CONVERSION.toEntry(message.entry, nowMs);
      const untilMs = nowMs + ADMISSION_LIMITS.placeLeaseMs;
      upstream.places.set(entry.id, { host: from, untilMs });
      const effect = applyEvent(upstream, { type: "ask", entry }, entry.id);
      const waits = computeOwnerWaits(upstream.state);
      if (effect === undefined || effect.type === "refuse") {
        upstream.places.delete(entry.id);
        const { minRetryAfterMs } = ADMISSION_LIMITS;
        const { reason, retryAfterMs } = effect ??
          { reason: "full" as const, retryAfterMs: minRetryAfterMs };
        return { type: "refuse", reason, retryAfterMs, waits };
      }
      if (effect.type === "grant") {
        upstream.places.delete(entry.id);
        return { type: "grant", waits };
      }
      const { position, expectedWaitMs } = effect;
      return { type: "place", position, expectedWaitMs, waits };
    },
    handleRenewal: (from, message) => {
      const upstream = getOwned(message.upstream);
      const { running } = upstream.state;
      const unknown = message.grants.map(([id]) => id).filter((id) => !running.has(id));
      for (const [id, produced] of message.grants) {
        applyEvent(upstream, { type: "tokens", id, produced });
      }
      if (unknown.length > 0) {
        const name = message.upstream;
        options.sendMessage(from, { type: "unknown", upstream: name, ids: unknown });
      }
    },
    handleAdoption: (message) => {
      const upstream = getOwned(message.upstream);
      const nowMs = context.clock.readMonotonicMs();
      for (const { entry, produced } of message.grants) {
        const adopted = ENTRY_CONVERSION.toEntry(entry, nowMs);
        applyEvent(upstream, { type: "adopt", entry: adopted, produced });
      }
    },
    handleRelease: (message) => {
      const upstream = getOwned(message.upstream);
      upstream.places.delete(message.id);
      applyEvent(upstream, { type: "withdraw", id: message.id });
      const { id, produced } = message;
      applyEvent(upstream, {
        type: "release",
        id,
        ...(produced === undefined ? {} : { produced }),
      });
      if (message.isRefused) {
        void pollEngine(message.upstream, upstream);
      }
    },
    markLeaving: (name) => {
      const upstream = owned.get(name);
      if (upstream !== undefined) {
        applyEvent(upstream, { type: "leave" });
      }
    },
    start: tickUpstreams,
    stop: () => timer?.cancel(),
    dumpState: () =>
      [...owned.values()].map(({ state }) => ({
        upstream: state.upstream,
        running: state.running.size,
        queued: state.queue.size,
        headroomShare: state.headroom.share,
        foreignTokens: state.unattributedTokens,
        capacityTokens: state.capacityTokens,
        isLeaving: state.isLeaving,
        waits: computeOwnerWaits(state),
      })),
  };
}
