import {
  applyHeartbeat,
  applyProbeReply,
  applyPublishedHosts,
  applySyncReply,
  createFullHeartbeat,
  createHeartbeat,
  createMembershipState,
  decideTick,
  encodeHeartbeat,
  observeTime,
} from "@crocussail/daemon/membership";
import type { Heartbeat, MembershipEffect, MembershipState } from "@crocussail/daemon/membership";
import { pack } from "msgpackr";
import { createSeededRandom } from "./create_seeded_random.ts";
import type { FleetModelFault } from "./fleet_model_fault.ts";

/** Options of {@link createFleetModel}. */
export interface FleetModelOptions {
  readonly members: number;
  readonly seed: number;
  /** Encodes every message and counts its bytes. */
  readonly isCounting?: boolean;
  /** Payloads that other slices add to each heartbeat. */
  readonly riders?: readonly (readonly [string, unknown])[];
}

/** Bytes of one member since the last reset. */
export interface TrafficCount {
  sent: number;
  received: number;
  messages: number;
}

type Message =
  | { readonly type: "probe" | "reply" | "syncReply"; readonly beat: Heartbeat; readonly via?: Via }
  | { readonly type: "sync" }
  | { readonly type: "relay"; readonly target: number }
  | { readonly type: "relayed"; readonly target: number };
/** The member on whose behalf a helper probes. */
type Via = { readonly requester: number; readonly target: number };

interface Envelope {
  readonly atMs: number;
  readonly from: number;
  readonly to: number;
  readonly message: Message;
}

const STEP_MS = 20;
const TICK_MS = 200;
/** Frame as a request or reply: array, type, channel, id of three bytes. */
const FRAME_BYTES = 8;
/** WebSocket header and mask. */
const SOCKET_BYTES = 8;
const RELAY_BYTES = 7;

/**
 * Steps the decisions of many members through a table of messages on an injected clock. No process,
 * socket or machine is modelled: a message is delivered after its delay, or lost.
 */
export function createFleetModel(options: FleetModelOptions) {
  const random = createSeededRandom(options.seed);
  const names = Array.from({ length: options.members }, (_, index) => `host-${index}.example`);
  const indexes = new Map(names.map((name, index) => [name, index]));
  const traffic: TrafficCount[] = names.map(() => ({ sent: 0, received: 0, messages: 0 }));
  const events: { atMs: number; member: number; event: string; peer: string }[] = [];
  const stopped = new Set<number>();
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
    const body = "beat" in message ? pack(encodeHeartbeat(message.beat, options.riders ?? [])) : [];
    const bytes = FRAME_BYTES + SOCKET_BYTES +
      ("beat" in message ? body.length : RELAY_BYTES);
    const sender = traffic[from];
    const receiver = traffic[to];
    if (sender !== undefined && receiver !== undefined) {
      sender.sent += bytes;
      sender.messages += 1;
      receiver.received += bytes;
    }
  };

  const send = (from: number, to: number, message: Message) => {
    if (options.isCounting === true) {
      countBytes(from, to, message);
    }
    const isLost = random.nextFloat() < (fault.loss ?? 0) || fault.isCut?.(from, to) === true;
    if (isLost || stopped.has(to)) {
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
        const beat = createHeartbeat(state, effect.host, nowMs);
        send(from, indexes.get(effect.host) ?? 0, { type: "probe", beat });
      }
    }
  };

  const deliver = ({ from, to, message }: Envelope) => {
    const state = states[to];
    if (state === undefined || stopped.has(to)) {
      return;
    }
    runEffects(to, state, observeTime(state, nowMs));
    const sender = names[from] ?? "";
    if ("beat" in message) {
      const noticeBytes = message.beat.notices.map(() => 100);
      applyHeartbeat(state, { from: sender, beat: message.beat, noticeBytes, nowMs });
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
        const beat = createHeartbeat(state, sender, nowMs);
        send(to, from, { ...message, type: "reply", beat });
        break;
      }
      case "reply":
        applyProbeReply(state, sender, "direct");
        if (message.via !== undefined) {
          send(to, message.via.requester, { type: "relayed", target: message.via.target });
        }
        break;
      case "sync":
        send(to, from, { type: "syncReply", beat: createFullHeartbeat(state) });
        break;
      case "syncReply":
        applySyncReply(state, sender, message.beat);
        break;
      case "relay": {
        const target = names[message.target] ?? "";
        const via = { requester: from, target: message.target };
        const beat = createHeartbeat(state, target, nowMs);
        send(to, message.target, { type: "probe", beat, via });
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
        const later = queue.get(nowMs + STEP_MS) ?? [];
        later.push(envelope);
        queue.set(nowMs + STEP_MS, later);
      } else {
        deliver(envelope);
      }
    }
    for (const [index, state] of states.entries()) {
      const isTick = (nowMs / STEP_MS) % (TICK_MS / STEP_MS) === phases[index];
      if (isTick && !stopped.has(index) && fault.paused?.has(index) !== true) {
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
      stopped.add(index);
    },
    /** Starts a new process of a host, which has forgotten everything. */
    restartMember: (index: number) => {
      stopped.delete(index);
      states[index] = createMember(index);
    },
    runFor: (durationMs: number) => {
      for (const endMs = nowMs + durationMs; nowMs < endMs;) {
        step();
      }
    },
    /** Runs until the condition holds or the time is over; returns the time taken, if it holds. */
    runUntil: (isDone: () => boolean, boundMs: number): number | undefined => {
      const startMs = nowMs;
      while (nowMs - startMs < boundMs) {
        if (isDone()) {
          return nowMs - startMs;
        }
        step();
      }
      return isDone() ? nowMs - startMs : undefined;
    },
    /** Tells whether every running observer gives the subject one of the states. */
    isSeenBy: (observers: readonly number[], subject: number, statuses: readonly number[]) =>
      observers.filter((index) => index !== subject && !stopped.has(index)).every((index) => {
        const status = states[index]?.members.get(names[subject] ?? "")?.status;
        return status !== undefined && statuses.includes(status);
      }),
  };
}
