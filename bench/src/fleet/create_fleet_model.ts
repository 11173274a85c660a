import {
  applyHeartbeat,
  applyProbeReply,
  applyPublishedHosts,
  applySyncReply,
  createFullHeartbeat,
  createHeartbeat,
  createMembershipState,
  decideLeave,
  decideTick,
  encodeHeartbeat,
  MEMBER_STATUS,
  observeTime,
} from "@crocussail/daemon/membership";
import type { Heartbeat, MembershipEffect, MembershipState } from "@crocussail/daemon/membership";
import { encodePeerFrame } from "@crocussail/daemon/peers";
import type { PeerFrame } from "@crocussail/daemon/peers";
import { createSeededRandom } from "./create_seeded_random.ts";
import type { FleetModelFault } from "./fleet_model_fault.ts";

/** Options of {@link createFleetModel}. */
export interface FleetModelOptions {
  readonly members: number;
  readonly seed: number;
  /** Encodes every message and counts its bytes. */
  readonly isCounting?: boolean;
  /** Payloads that other slices add to each heartbeat. */
  readonly payloads?: readonly (readonly [string, unknown])[];
}

/** Bytes of one member since the last reset. */
export interface TrafficCount {
  sent: number;
  received: number;
  messages: number;
}

type Message =
  | {
    readonly type: "probe" | "reply" | "syncReply";
    readonly heartbeat: Heartbeat;
    readonly origin?: ProbeOrigin;
  }
  | { readonly type: "sync" }
  | { readonly type: "relay"; readonly target: number }
  | { readonly type: "relayed"; readonly target: number };
/** The member that requested an indirect probe from a helper, and the target of the probe. */
type ProbeOrigin = { readonly requester: number; readonly target: number };

interface Envelope {
  readonly atMs: number;
  readonly from: number;
  readonly to: number;
  readonly message: Message;
}

const STEP_MS = 20;
const TICK_MS = 200;
const CHANNEL = "m";
/** Request id of the size that a daemon reaches after some days. */
const FRAME_ID = 100_000_000;
/** Size of the WebSocket header, mask included, of a frame above 125 bytes. */
const FRAME_HEADER_BYTES = 8;

/**
 * Runs the decision functions of many members on a simulated clock with simulated messages. No
 * process, socket or machine is modelled: a message is delivered after its delay, or lost.
 */
export function createFleetModel(options: FleetModelOptions) {
  const random = createSeededRandom(options.seed);
  const names = Array.from({ length: options.members }, (_, index) => `host-${index}.example`);
  const indexes = new Map(names.map((name, index) => [name, index]));
  const traffic: TrafficCount[] = names.map(() => ({ sent: 0, received: 0, messages: 0 }));
  const events: { atMs: number; member: number; event: string; peer: string }[] = [];
  const stoppedMembers = new Set<number>();
  const queue = new Map<number, Envelope[]>();
  let fault: FleetModelFault = {};
  let nowMs = 0;

  const createMember = (index: number) => {
    const state = createMembershipState({
      host: names[index] ?? "",
      incarnation: random.nextInteger(0xffffffff),
      random,
      nowMs,
    });
    applyPublishedHosts(state, names, nowMs);
    return state;
  };
  const phases = names.map(() => random.nextInteger(TICK_MS / STEP_MS));
  const states: MembershipState[] = names.map((_, index) => createMember(index));

  const countBytes = (from: number, to: number, message: Message) => {
    const bytes = encodePeerFrame(buildFrame(message)).length + FRAME_HEADER_BYTES;
    const sender = traffic[from];
    const receiver = traffic[to];
    if (sender !== undefined && receiver !== undefined) {
      sender.sent += bytes;
      sender.messages += 1;
      receiver.received += bytes;
    }
  };

  const buildFrame = (message: Message): PeerFrame => {
    const id = FRAME_ID;
    const payloads = options.payloads ?? [];
    switch (message.type) {
      case "probe":
        return {
          type: "request",
          channel: CHANNEL,
          id,
          body: [0, encodeHeartbeat(message.heartbeat, payloads)],
        };
      case "reply":
      case "syncReply":
        return { type: "reply", id, body: encodeHeartbeat(message.heartbeat, payloads) };
      case "sync":
        return { type: "request", channel: CHANNEL, id, body: [1, null] };
      case "relay":
        return { type: "request", channel: CHANNEL, id, body: [2, 0xffffffff] };
      case "relayed":
        return { type: "reply", id, body: true };
    }
  };

  const send = (from: number, to: number, message: Message) => {
    if (options.isCounting === true) {
      countBytes(from, to, message);
    }
    const isLost = random.nextFloat() < (fault.loss ?? 0) || fault.isCut?.(from, to) === true;
    if (isLost || stoppedMembers.has(to)) {
      return;
    }
    const atMs = nowMs + STEP_MS * (1 + random.nextInteger(4));
    const waiting = queue.get(atMs) ?? [];
    waiting.push({ atMs, from, to, message });
    queue.set(atMs, waiting);
  };

  const runEffects = (from: number, state: MembershipState, effects: MembershipEffect[]) => {
    for (const effect of effects) {
      if (effect.type === "event") {
        const peer = String(effect.fields["peer"] ?? "");
        events.push({ atMs: nowMs, member: from, event: effect.event, peer });
      } else if (effect.type === "relay") {
        const target = indexes.get(effect.target) ?? 0;
        send(from, indexes.get(effect.helper) ?? 0, { type: "relay", target });
      } else if (effect.type === "sync") {
        send(from, indexes.get(effect.host) ?? 0, { type: "sync" });
      } else {
        const heartbeat = createHeartbeat(state, effect.host, nowMs);
        send(from, indexes.get(effect.host) ?? 0, { type: "probe", heartbeat });
      }
    }
  };

  const deliver = ({ from, to, message }: Envelope) => {
    const state = states[to];
    if (state === undefined || stoppedMembers.has(to)) {
      return;
    }
    runEffects(to, state, observeTime(state, nowMs));
    const sender = names[from] ?? "";
    if ("heartbeat" in message) {
      const noticeBytes = message.heartbeat.notices.map(() => 100);
      applyHeartbeat(state, { from: sender, beat: message.heartbeat, noticeBytes, nowMs });
    }
    answer(state, { from, to, message, sender });
  };

  const answer = (
    state: MembershipState,
    arrival: { from: number; to: number; message: Message; sender: string },
  ) => {
    const { from, to, message, sender } = arrival;
    switch (message.type) {
      case "probe": {
        const heartbeat = createHeartbeat(state, sender, nowMs);
        send(to, from, { ...message, type: "reply", heartbeat });
        break;
      }
      case "reply":
        applyProbeReply(state, sender, "direct");
        if (message.origin !== undefined) {
          send(to, message.origin.requester, { type: "relayed", target: message.origin.target });
        }
        break;
      case "sync":
        send(to, from, { type: "syncReply", heartbeat: createFullHeartbeat(state) });
        break;
      case "syncReply":
        applySyncReply(state, sender, message.heartbeat);
        break;
      case "relay": {
        const target = names[message.target] ?? "";
        const origin = { requester: from, target: message.target };
        const heartbeat = createHeartbeat(state, target, nowMs);
        send(to, message.target, { type: "probe", heartbeat, origin });
        break;
      }
      case "relayed": {
        const target = names[message.target] ?? "";
        if (state.probes.has(target)) {
          applyProbeReply(state, target, "helper");
        }
        break;
      }
    }
  };

  const step = () => {
    nowMs += STEP_MS;
    const due = queue.get(nowMs) ?? [];
    queue.delete(nowMs);
    for (const envelope of due) {
      if (fault.paused?.has(envelope.to) === true) {
        const delayed = queue.get(nowMs + STEP_MS) ?? [];
        delayed.push(envelope);
        queue.set(nowMs + STEP_MS, delayed);
      } else {
        deliver(envelope);
      }
    }
    for (const [index, state] of states.entries()) {
      const isTick = (nowMs / STEP_MS) % (TICK_MS / STEP_MS) === phases[index];
      if (isTick && !stoppedMembers.has(index) && fault.paused?.has(index) !== true) {
        runEffects(index, state, decideTick(state, nowMs));
      }
    }
  };

  return {
    states,
    names,
    events,
    traffic,
    getTime: () => nowMs,
    setFault: (next: FleetModelFault) => {
      fault = next;
    },
    stopMember: (index: number) => {
      stoppedMembers.add(index);
    },
    leaveMember: (index: number) => {
      const state = states[index];
      if (state !== undefined) {
        runEffects(index, state, decideLeave(state, MEMBER_STATUS.leaving));
      }
    },
    /** Starts a new process of a host, with empty state. */
    restartMember: (index: number) => {
      stoppedMembers.delete(index);
      states[index] = createMember(index);
    },
    runFor: (durationMs: number) => {
      for (const endMs = nowMs + durationMs; nowMs < endMs;) {
        step();
      }
    },
    /** Runs until the condition holds; returns the time taken, or undefined after the timeout. */
    runUntil: (isDone: () => boolean, timeoutMs: number): number | undefined => {
      const startMs = nowMs;
      while (nowMs - startMs < timeoutMs) {
        if (isDone()) {
          return nowMs - startMs;
        }
        step();
      }
      return isDone() ? nowMs - startMs : undefined;
    },
    /** Tells whether every running observer has the subject in one of the statuses. */
    isSeenBy: (observers: readonly number[], subject: number, statuses: readonly number[]) =>
      observers.filter((index) => index !== subject && !stoppedMembers.has(index)).every(
        (index) => {
          const status = states[index]?.members.get(names[subject] ?? "")?.status;
          return status !== undefined && statuses.includes(status);
        },
      ),
  };
}
