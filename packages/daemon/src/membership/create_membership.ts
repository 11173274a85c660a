import type { Timer } from "@crocussail/protocol";
import { z } from "zod";
import type { DaemonContext } from "../common/daemon_context.ts";
import type { SettingsView } from "../settings/mod.ts";
import type { HeartbeatRider, Membership, Notice } from "./membership.ts";
import { noticeSchema } from "./notice_schema.ts";

/** Options of {@link createMembership}. */
export interface MembershipOptions {
  readonly context: Pick<DaemonContext, "config" | "peers" | "clock">;
  readonly settings: SettingsView;
}

const HEARTBEAT_MS = 1_000;
const NOTICE_CHANNEL = "notices";
const HEARTBEAT_CHANNEL = "heartbeats";
const heartbeatSchema = z.record(z.string(), z.unknown());

/** Creates the membership slice: the published list, with heartbeats to every live host. */
export function createMembership(options: MembershipOptions): Membership {
  const { config, peers, clock } = options.context;
  const self = config.host.name;
  const riders: HeartbeatRider[] = [];
  const listeners = new Map<string, ((notice: Notice) => void)[]>();
  let timer: Timer | undefined;

  const listLiveHosts = () =>
    [...options.settings.getHosts()]
      .filter(([, host]) => host.state === "live")
      .map(([name]) => name)
      .sort();
  const listPeers = () => listLiveHosts().filter((host) => host !== self);
  const handleNotice = (notice: Notice) =>
    listeners.get(notice.topic)?.forEach((listener) => listener(notice));

  peers.registerHandler(NOTICE_CHANNEL, (_from, message) => {
    const { payload, ...notice } = noticeSchema.parse(message);
    handleNotice({ ...notice, payload });
  });
  peers.registerHandler(HEARTBEAT_CHANNEL, (from, message) => {
    const payloads = heartbeatSchema.parse(message);
    for (const rider of riders) {
      if (payloads[rider.name] !== undefined) {
        rider.applyPayload(from, payloads[rider.name]);
      }
    }
  });

  const sendHeartbeats = () => {
    const payloads = riders.map((rider) => [rider.name, rider.collectPayload()]);
    const heartbeat = Object.fromEntries(payloads);
    listPeers().forEach((host) => peers.sendMessage(host, HEARTBEAT_CHANNEL, heartbeat));
    timer = clock.startTimer(HEARTBEAT_MS, sendHeartbeats);
  };

  return {
    listLiveHosts,
    isLive: (host) => listLiveHosts().includes(host),
    isViewFresh: () => true,
    registerRider: (rider) => {
      riders.push(rider);
    },
    publishNotice: (draft) => {
      const notice = { ...draft, origin: self };
      handleNotice(notice);
      listPeers().forEach((host) => peers.sendMessage(host, NOTICE_CHANNEL, notice));
    },
    subscribeNotices: (topic, listener) => {
      listeners.set(topic, [...(listeners.get(topic) ?? []), listener]);
    },
    start: sendHeartbeats,
    stop: () => timer?.cancel(),
    dumpState: () => ({ live: listLiveHosts() }),
  };
}
