import { acceptNotice } from "./accept_notice.ts";
import type { Heartbeat } from "./heartbeat.ts";
import { MEMBER_STATUS } from "./member_status.ts";
import type { Notice } from "./membership.ts";
import type { Member, MembershipState } from "./membership_state.ts";
import { mergeMember } from "./merge_member.ts";
import { refreshOverlay } from "./refresh_overlay.ts";

const SENDS_PER_ROUND = 2;

/** A received heartbeat. */
export interface HeartbeatArrival {
  readonly from: string;
  readonly beat: Heartbeat;
  /** Encoded size of each notice in the heartbeat. */
  readonly noticeBytes: readonly number[];
  readonly nowMs: number;
}

/** Applies a heartbeat, whether it is a probe or a reply; returns the notices to deliver. */
export function applyHeartbeat(state: MembershipState, arrival: HeartbeatArrival): Notice[] {
  const { from, beat, nowMs } = arrival;
  const sender = state.members.get(from);
  if (sender !== undefined) {
    recordSender(state, sender, arrival);
  }
  for (const update of beat.updates) {
    mergeMember(state, update, nowMs);
  }
  compareDigest(state, beat.digest, nowMs);
  const sendCount = SENDS_PER_ROUND * Math.ceil(Math.log2(state.members.size + 2));
  return beat.notices.filter((notice, index) =>
    acceptNotice(state.notices, {
      notice,
      bytes: arrival.noticeBytes[index] ?? 0,
      sendCount,
      nowMs,
    })
  );
}

function recordSender(state: MembershipState, sender: Member, arrival: HeartbeatArrival): void {
  const { beat, nowMs } = arrival;
  const wasDown = sender.status >= MEMBER_STATUS.dead;
  sender.lastHeartbeatMs = nowMs;
  sender.lastDigest = beat.digest;
  const { incarnation, counter, status } = beat;
  mergeMember(state, { id: sender.id, incarnation, counter, status }, nowMs);
  if (wasDown && sender.status < MEMBER_STATUS.dead) {
    state.wantsSync = true;
  }
}

function compareDigest(state: MembershipState, digest: number, nowMs: number): void {
  refreshOverlay(state);
  if (digest === state.digest) {
    state.lastMatchMs = nowMs;
  }
}
