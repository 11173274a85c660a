import { MEMBER_STATUS } from "./member_status.ts";
import type { MemberUpdate } from "./member_update.ts";
import type { MembershipState } from "./membership_state.ts";

const MIX_FACTOR = 0x85ebca6b;
const COUNTER_FACTOR = 0xc2b2ae35;

/**
 * Computes the neighbours and the digest of the view after a change. All members that are not dead
 * form a ring, ordered by their hash so that neighbours are in many data centres. The neighbours are
 * the members at distances 1, 2, 4, ... forwards and 1 and 2 backwards: log2(n) + 2 members, and this
 * host is the neighbour of as many.
 */
export function refreshOverlay(state: MembershipState): void {
  if (state.mustRecomputeNeighbours) {
    state.mustRecomputeNeighbours = false;
    state.neighbours = listNeighbours(state);
  }
  if (state.mustRecomputeDigest) {
    state.mustRecomputeDigest = false;
    state.digest = digestView(state);
  }
}

function listNeighbours(state: MembershipState): string[] {
  const ring = [...state.members.values()]
    .filter((member) => member.status < MEMBER_STATUS.dead)
    .map((member) => ({ host: member.host, id: member.id }));
  ring.push({ host: state.host, id: state.id });
  ring.sort((left, right) => left.id - right.id || (left.host < right.host ? -1 : 1));
  const localIndex = ring.findIndex((entry) => entry.host === state.host);
  const chosen = new Set<string>();
  for (const offset of listOffsets(ring.length)) {
    const entry = ring[(localIndex + offset) % ring.length];
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

/** Treats a suspect as alive, because suspicions are short-lived and differ between daemons. */
function digestRecord(record: MemberUpdate): number {
  const isSuspect = record.status === MEMBER_STATUS.suspect;
  const status = isSuspect ? MEMBER_STATUS.alive : record.status;
  const processHash = hashBits(record.id ^ hashBits(record.incarnation));
  return hashBits(processHash + Math.imul(record.counter, COUNTER_FACTOR) + status);
}

function hashBits(value: number): number {
  const intermediate = Math.imul(value ^ (value >>> 16), MIX_FACTOR);
  return Math.imul(intermediate ^ (intermediate >>> 13), COUNTER_FACTOR) ^ (intermediate >>> 16);
}
