import { MEMBERSHIP_LIMITS } from "./constants.ts";
import { MEMBER_STATUS } from "./member_status.ts";
import type { MembershipEffect } from "./membership_effect.ts";
import type { Member, MembershipState } from "./membership_state.ts";
import { observeTime } from "./observe_time.ts";
import { pickMembers } from "./pick_members.ts";
import { enqueueUpdate } from "./enqueue_update.ts";
import { refreshOverlay } from "./refresh_overlay.ts";
import { suspectMember } from "./suspect_member.ts";

/**
 * Decides what a daemon does at a tick: expires suspicions, sends probes, pulls views and updates
 * whether it trusts its own view.
 */
export function decideTick(state: MembershipState, nowMs: number): MembershipEffect[] {
  const effects = observeTime(state, nowMs);
  effects.push(...expireSuspicions(state, nowMs));
  effects.push(...checkProbes(state, nowMs));
  refreshOverlay(state);
  effects.push(...sendRefutation(state, nowMs));
  effects.push(...sendProbe(state, nowMs));
  effects.push(...probeDead(state, nowMs));
  effects.push(...pullView(state, nowMs));
  settleFreshness(state, nowMs);
  return effects;
}

function expireSuspicions(state: MembershipState, nowMs: number): MembershipEffect[] {
  const expired = [...state.members.values()].filter((member) =>
    member.status === MEMBER_STATUS.suspect && member.suspicionEndsAtMs <= nowMs
  );
  return expired.map((member) => {
    member.status = MEMBER_STATUS.dead;
    member.changedAtMs = nowMs;
    state.probes.delete(member.host);
    Object.assign(state, { mustRecomputeDigest: true, mustRecomputeNeighbours: true });
    enqueueUpdate(state, member.host, true);
    return { type: "event", event: "memberDead", fields: { peer: member.host } };
  });
}

function checkProbes(state: MembershipState, nowMs: number): MembershipEffect[] {
  const effects: MembershipEffect[] = [];
  for (const [host, probe] of state.probes) {
    const member = state.members.get(host);
    const waitedMs = nowMs - probe.sentAtMs;
    if (member === undefined || member.lastHeartbeatMs > probe.sentAtMs) {
      state.probes.delete(host);
    } else if (waitedMs >= MEMBERSHIP_LIMITS.probeTimeoutMs) {
      state.probes.delete(host);
      effects.push(...failProbe(state, member, nowMs));
    } else if (!probe.hasHelpers && waitedMs >= MEMBERSHIP_LIMITS.directTimeoutMs) {
      probe.hasHelpers = true;
      effects.push(...requestHelpers(state, host));
    }
  }
  return effects;
}

function failProbe(state: MembershipState, member: Member, nowMs: number): MembershipEffect[] {
  if (member.status >= MEMBER_STATUS.suspect) {
    return [];
  }
  suspectMember(state, member, nowMs);
  return [{ type: "event", event: "memberSuspected", fields: { peer: member.host } }];
}

function requestHelpers(state: MembershipState, target: string): MembershipEffect[] {
  const helpers = pickMembers(
    state,
    MEMBERSHIP_LIMITS.helpers,
    (member) => member.host !== target && isUsableNeighbour(state, member),
  );
  const relays = helpers.map((helper) => ({ type: "relay" as const, helper, target }));
  return [{ type: "probe", host: target }, ...relays];
}

function sendProbe(state: MembershipState, nowMs: number): MembershipEffect[] {
  if (nowMs < state.nextProbeMs || state.neighbours.length === 0) {
    return [];
  }
  state.nextProbeMs = Math.max(state.nextProbeMs, nowMs - MEMBERSHIP_LIMITS.tickMs) +
    MEMBERSHIP_LIMITS.probeIntervalMs;
  const host = state.neighbours[state.probeCursor % state.neighbours.length];
  state.probeCursor += 1;
  if (host === undefined || state.probes.has(host)) {
    return [];
  }
  state.probes.set(host, { sentAtMs: nowMs, hasHelpers: false });
  return [{ type: "probe", host }];
}

function sendRefutation(state: MembershipState, nowMs: number): MembershipEffect[] {
  const waitedMs = nowMs - state.lastRefuteMs;
  if (!state.wantsRefute || waitedMs < MEMBERSHIP_LIMITS.refuteIntervalMs) {
    return [];
  }
  state.wantsRefute = false;
  state.lastRefuteMs = nowMs;
  return state.neighbours.map((host) => ({ type: "probe", host }));
}

function probeDead(state: MembershipState, nowMs: number): MembershipEffect[] {
  if (nowMs < state.nextDeadProbeMs) {
    return [];
  }
  state.nextDeadProbeMs = nowMs +
    MEMBERSHIP_LIMITS.deadProbeIntervalMs * (0.5 + state.random.nextFloat());
  const dead = pickMembers(state, 1, (member) => member.status >= MEMBER_STATUS.dead);
  return dead.map((host) => ({ type: "probe", host }));
}

function pullView(state: MembershipState, nowMs: number): MembershipEffect[] {
  const isDiverged = nowMs - state.lastMatchMs >= MEMBERSHIP_LIMITS.mismatchMs;
  const isDistrusted = !state.freshness.isFresh;
  const waitMs = isDistrusted ? MEMBERSHIP_LIMITS.freshSyncMs : MEMBERSHIP_LIMITS.syncIntervalMs;
  if (!(isDiverged || isDistrusted || state.wantsSync) || nowMs - state.lastSyncMs < waitMs) {
    return [];
  }
  const peers = pickMembers(
    state,
    isDistrusted ? MEMBERSHIP_LIMITS.freshReplies + 1 : 1,
    (member) => isUsableNeighbour(state, member),
  );
  if (peers.length === 0) {
    return [];
  }
  state.wantsSync = false;
  state.lastSyncMs = nowMs;
  return peers.map((host) => ({ type: "sync", host }));
}

function isUsableNeighbour(state: MembershipState, member: Member): boolean {
  return member.status < MEMBER_STATUS.suspect && state.neighbours.includes(member.host);
}

function settleFreshness(state: MembershipState, nowMs: number): void {
  const { freshness } = state;
  const waitMs = freshness.isAfterPause
    ? MEMBERSHIP_LIMITS.resumeWaitMs
    : MEMBERSHIP_LIMITS.startWaitMs;
  const isAlone = state.hasPublishedList && state.members.size === 0;
  if (!freshness.isFresh && (isAlone || nowMs - freshness.sinceMs >= waitMs)) {
    Object.assign(freshness, { isFresh: true, isAfterPause: false });
  }
}
