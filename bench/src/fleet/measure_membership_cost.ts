import {
  applyHeartbeat,
  createHeartbeat,
  decideTick,
  decodeHeartbeat,
  encodeHeartbeat,
} from "@crocussail/daemon/membership";
import { pack, unpack } from "msgpackr";
import process from "node:process";
import type { BenchSection } from "./bench_section.ts";
import { createFleetModel } from "./create_fleet_model.ts";

const SIZES = [50, 100, 200, 400];
const ROUNDS = 5_000;
const TICKS_A_SECOND = 5;
/** Probes and replies that one daemon handles each second: 2.5 sent and 2.5 received. */
const MESSAGES_A_SECOND = 5;
/** Target for the processor time of membership in one daemon, as a share of one core. */
const MAX_CORE_SHARE = 0.046;
const SECOND_MS = 1_000;
const BYTES_PER_KIB = 1_024;

/** Measures processor time and memory of membership's decisions and codec in one daemon. */
export function measureMembershipCost(): BenchSection {
  const rows = SIZES.map(measureSize);
  const missed = rows
    .filter((row) => row.coreShare > MAX_CORE_SHARE)
    .map((row) => `${row.coreShare} of a core at ${row.members} members`);
  return { name: "control", rows, missed };
}

function measureSize(members: number) {
  const heapBefore = readHeap();
  const fleet = createFleetModel({ members, seed: members });
  fleet.runFor(60_000);
  const heapBytes = (readHeap() - heapBefore) / members;
  const [state, peer] = fleet.states;
  if (state === undefined || peer === undefined) {
    throw new Error("the model needs at least two members");
  }
  const tickMs = measureCall((round) => decideTick(state, fleet.getTime() + round));
  const messageMs = measureCall((round) => {
    const nowMs = fleet.getTime() + round;
    const heartbeat = createHeartbeat(peer, state.host, nowMs);
    const decoded = decodeHeartbeat(unpack(pack(encodeHeartbeat(heartbeat, []))));
    if (decoded !== undefined) {
      applyHeartbeat(state, { from: peer.host, beat: decoded.beat, noticeBytes: [], nowMs });
    }
  });
  const busyMs = tickMs * TICKS_A_SECOND + messageMs * MESSAGES_A_SECOND;
  return {
    members,
    microsecondsATick: Math.round(tickMs * 1_000),
    microsecondsAMessage: Math.round(messageMs * 1_000),
    coreShare: Number((busyMs / SECOND_MS).toFixed(6)),
    stateKib: Math.round(heapBytes / BYTES_PER_KIB),
  };
}

function measureCall(call: (round: number) => void): number {
  const start = performance.now();
  for (let round = 0; round < ROUNDS; round++) {
    call(round);
  }
  return (performance.now() - start) / ROUNDS;
}

function readHeap(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
