import type { Timer } from "@crocussail/protocol";
import { pack } from "msgpackr";
import type { DaemonContext } from "../common/daemon_context.ts";
import type { SettingsView } from "../common/settings_view.ts";
import { acceptNotice } from "./accept_notice.ts";
import { applyHeartbeat } from "./apply_heartbeat.ts";
import { applyProbeReply } from "./apply_probe_reply.ts";
import { applyPublishedHosts } from "./apply_published_hosts.ts";
import { applySyncReply } from "./apply_sync_reply.ts";
import { collectPayloads } from "./collect_payloads.ts";
import { MEMBERSHIP_LIMITS } from "./constants.ts";
import { createFullHeartbeat } from "./create_full_heartbeat.ts";
import { createHeartbeat } from "./create_heartbeat.ts";
import { decideLeave } from "./decide_leave.ts";
import { decideTick } from "./decide_tick.ts";
import { decodeHeartbeat } from "./decode_heartbeat.ts";
import type { DecodedHeartbeat } from "./decode_heartbeat.ts";
import { dumpMembership } from "./dump_membership.ts";
import { encodeHeartbeat } from "./encode_heartbeat.ts";
import { encodeNotice } from "./encode_notice.ts";
import type { Heartbeat } from "./heartbeat.ts";
import { MEMBER_STATUS } from "./member_status.ts";
import type { HeartbeatPayloadSource, Membership, Notice } from "./membership.ts";
import type { MembershipEffect } from "./membership_effect.ts";
import { membershipRequestSchema } from "./membership_request_schema.ts";
import { createMembershipState } from "./membership_state.ts";
import { observeTime } from "./observe_time.ts";

/** Options of {@link createMembership}. */
export interface MembershipOptions {
  readonly context: Pick<
    DaemonContext,
    "config" | "peers" | "clock" | "random" | "logger" | "incarnation"
  >;
  readonly settings: SettingsView;
}

const CHANNEL = "m";
const PROBE = 0;
const SYNC = 1;
const RELAY = 2;
const INCARNATION_DIGITS = 8;
const HEXADECIMAL = 16;
const SENDS_PER_ROUND = 2;

/** Creates the membership slice, which combines the published list with this daemon's probes. */
export function createMembership(options: MembershipOptions): Membership {
  const { settings, context: { config, peers, clock, logger, incarnation, random } } = options;
  const state = createMembershipState({
    host: config.host.name,
    incarnation: Number.parseInt(incarnation.slice(0, INCARNATION_DIGITS), HEXADECIMAL),
    random,
    nowMs: clock.readMonotonicMs(),
  });
  const payloadSources: HeartbeatPayloadSource[] = [];
  const listeners = new Map<string, ((notice: Notice) => void)[]>();
  const oversized = new Set<string>();
  let payloadBytes: ReadonlyMap<string, number> = new Map();
  let published: ReturnType<SettingsView["getHosts"]> = new Map();
  let timer: Timer | undefined;
  let unsubscribe: (() => void) | undefined;
  let wasSuperseded = false;

  const deliverNotice = (notice: Notice) =>
    listeners.get(notice.topic)?.forEach((listener) => listener(notice));

  const encodeBeat = (beat: Heartbeat) => {
    const collected = collectPayloads(payloadSources);
    payloadBytes = collected.bytes;
    for (const rider of collected.omitted.filter((name) => !oversized.has(name))) {
      oversized.add(rider);
      logger.writeEvent("riderTooLarge", { rider, bytes: payloadBytes.get(rider) ?? 0 });
    }
    return encodeHeartbeat(beat, collected.payloads);
  };

  const receiveHeartbeat = (from: string, { beat, payloads }: DecodedHeartbeat) => {
    const nowMs = clock.readMonotonicMs();
    runEffects(observeTime(state, nowMs));
    const noticeBytes = beat.notices.map((notice) => pack(encodeNotice(notice)).length);
    applyHeartbeat(state, { from, beat, noticeBytes, nowMs }).forEach(deliverNotice);
    for (const rider of payloadSources) {
      if (payloads.has(rider.name)) {
        rider.applyPayload(from, payloads.get(rider.name));
      }
    }
    if (state.isSuperseded && !wasSuperseded) {
      wasSuperseded = true;
      logger.writeEvent("processSuperseded");
    }
  };

  const exchangeHeartbeat = async (
    host: string,
    request: unknown,
  ): Promise<Heartbeat | undefined> => {
    const reply = await peers.requestReply(
      host,
      CHANNEL,
      request,
      MEMBERSHIP_LIMITS.probeTimeoutMs,
    );
    const decoded = reply.map(decodeHeartbeat).toMaybe().extract();
    if (decoded !== undefined) {
      receiveHeartbeat(host, decoded);
    }
    return decoded?.beat;
  };

  const probeHost = (host: string) => {
    const beat = createHeartbeat(state, host, clock.readMonotonicMs());
    return exchangeHeartbeat(host, [PROBE, encodeBeat(beat)]);
  };

  const runEffect = async (effect: MembershipEffect) => {
    switch (effect.type) {
      case "probe":
        if (await probeHost(effect.host) !== undefined) {
          applyProbeReply(state, effect.host, "direct");
        }
        break;
      case "relay": {
        const request = [RELAY, state.members.get(effect.target)?.id ?? 0];
        const reply = await peers.requestReply(
          effect.helper,
          CHANNEL,
          request,
          MEMBERSHIP_LIMITS.probeTimeoutMs,
        );
        if (reply.extract() === true && state.probes.has(effect.target)) {
          applyProbeReply(state, effect.target, "helper");
        }
        break;
      }
      case "sync": {
        const beat = await exchangeHeartbeat(effect.host, [SYNC, null]);
        if (beat !== undefined) {
          applySyncReply(state, effect.host, beat);
        }
        break;
      }
      case "event":
        logger.writeEvent(effect.event, effect.fields);
        break;
    }
  };

  const runEffects = (effects: readonly MembershipEffect[]) => effects.forEach(runEffect);

  const relayProbe = async (id: number) => {
    const target = state.hostsById.get(id);
    return target !== undefined && await probeHost(target) !== undefined;
  };

  peers.registerHandler(CHANNEL, (from, message) => {
    const request = membershipRequestSchema.parse(message);
    if (request[0] === RELAY) {
      return relayProbe(request[1]);
    }
    if (request[0] === SYNC) {
      return encodeBeat(createFullHeartbeat(state));
    }
    const decoded = decodeHeartbeat(request[1]);
    if (decoded === undefined) {
      throw new Error("malformed heartbeat");
    }
    receiveHeartbeat(from, decoded);
    return encodeBeat(createHeartbeat(state, from, clock.readMonotonicMs()));
  });

  const isServing = (host: string, maxStatus: number) => {
    const status = host === state.host ? state.status : state.members.get(host)?.status;
    const isEligible = status !== undefined && status <= maxStatus &&
      status !== MEMBER_STATUS.leaving;
    return isEligible && published.get(host)?.state === "live";
  };
  const listServing = (maxStatus: number) =>
    [...published.keys()].filter((host) => isServing(host, maxStatus)).sort();

  const tick = () => {
    runEffects(decideTick(state, clock.readMonotonicMs()));
    timer = clock.startTimer(MEMBERSHIP_LIMITS.tickMs, tick);
  };
  const updateHosts = () => {
    published = settings.getHosts();
    applyPublishedHosts(state, published.keys(), clock.readMonotonicMs());
  };

  return {
    listLiveHosts: () => listServing(MEMBER_STATUS.suspect),
    isLive: (host) => isServing(host, MEMBER_STATUS.suspect),
    listUnsuspectedHosts: () => listServing(MEMBER_STATUS.alive),
    isViewFresh: () =>
      state.freshness.isFresh && !state.isSuperseded &&
      clock.readMonotonicMs() - state.lastObservedMs <= MEMBERSHIP_LIMITS.pauseThresholdMs,
    registerPayload: (rider) => {
      payloadSources.push(rider);
    },
    publishNotice: (draft) => {
      const notice = { ...draft, origin: state.host };
      const bytes = pack(encodeNotice(notice)).length;
      const sendCount = SENDS_PER_ROUND * Math.ceil(Math.log2(state.members.size + 2));
      const nowMs = clock.readMonotonicMs();
      if (bytes > MEMBERSHIP_LIMITS.maxNoticeBytes) {
        logger.writeEvent("noticeTooLarge", { topic: notice.topic, bytes });
        return;
      }
      if (acceptNotice(state.notices, { notice, bytes, sendCount, nowMs })) {
        deliverNotice(notice);
      }
    },
    subscribeNotices: (topic, listener) => {
      listeners.set(topic, [...(listeners.get(topic) ?? []), listener]);
    },
    startLeaving: () => runEffects(decideLeave(state, MEMBER_STATUS.leaving)),
    finishLeaving: async () => {
      await Promise.all(decideLeave(state, MEMBER_STATUS.left).map(runEffect));
    },
    start: () => {
      unsubscribe = settings.subscribe(updateHosts);
      updateHosts();
      tick();
    },
    stop: () => {
      timer?.cancel();
      unsubscribe?.();
    },
    dumpState: () => ({
      ...(dumpMembership(state, clock.readMonotonicMs()) as object),
      live: listServing(MEMBER_STATUS.suspect),
      riderBytes: Object.fromEntries(payloadBytes),
    }),
  };
}
