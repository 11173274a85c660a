import { MEMBER_STATUS } from "./member_status.ts";
import type { MemberUpdate } from "./member_update.ts";
import type { MembershipState } from "./membership_state.ts";

const MIX_FACTOR = 0x85ebca6b;
const COUNTER_FACTOR = 0xc2b2ae35;

/**
 * Computes the neighbours and the digest of the view after a change. Members that may live stand on
 * a ring in order of their hash, so that neighbours lie in many data centres; neighbours are those
 * at distances 1, 2, 4, ... onwards and at 1 and 2 backwards: log2(n) + 2 of them, and as many
 * hosts have this one as theirs.
 */
export function refreshOverlay(state: MembershipState): void {
  if (state.isRingDirty) {
    state.isRingDirty = false;
    state.neighbours = listNeighbours(state);
  }
  if (state.isDirty) {
    state.isDirty = false;
    state.digest = digestView(state);
  }
}

function listNeighbours(state: MembershipState): string[] {
  const ring = [...state.members.values()]
    .filter((member) => member.status < MEMBER_STATUS.dead)
    .map((member) => ({ host: member.host, id: member.id }));
  ring.push({ host: state.host, id: state.id });
  ring.sort((left, right) => left.id - right.id || (left.host < right.host ? -1 : 1));
  const own = ring.findIndex((entry) => entry.host === state.host);
  const chosen = new Set<string>();
  for (const offset of listOffsets(ring.length)) {
    const entry = ring[(own + offset) % ring.length];
    if (entry !== undefined && entry.host !== state.host) {
      chosen.add(entry.host);
    }
  }
  return [...chosen];
}

function listOffsets(size: number): number[] {
  const offsets: number[] = [];
  for (let offset = 1; offset < size; offset *= 2) {
    offsets.push(offset);
  }
  return size > 2 ? [...offsets, size - 1, size - 2] : offsets;
}

function digestView(state: MembershipState): number {
  let sum = digestRecord(state);
  for (const member of state.members.values()) {
    sum ^= digestRecord(member);
  }
  return sum >>> 0;
}

/** A suspicion is short-lived and differs among daemons, so it does not count. */
function digestRecord(record: MemberUpdate): number {
  const isDoubted = record.status === MEMBER_STATUS.suspect;
  const status = isDoubted ? MEMBER_STATUS.alive : record.status;
  const life = hashBits(record.id ^ hashBits(record.incarnation));
  return hashBits(life + Math.imul(record.counter, COUNTER_FACTOR) + status);
}

function hashBits(value: number): number {
  const half = Math.imul(value ^ (value >>> 16), MIX_FACTOR);
  return Math.imul(half ^ (half >>> 13), COUNTER_FACTOR) ^ (half >>> 16);
}
