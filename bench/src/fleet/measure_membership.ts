import { MEMBER_STATUS } from "@crocussail/daemon/membership";
import type { BenchSection } from "./bench_section.ts";
import { createFleetModel } from "./create_fleet_model.ts";

const SIZES = [8, 50, 100, 200, 400];
const LOSSES = [0.01, 0.05];
const LOSS_SIZES = [50, 400];
/** Heartbeat payloads in the form that the settings and orders slices add. */
const PAYLOADS = [
  ["settings", ["0123456789abcdef0123456789abcdef", 123_456, 1_500]],
  ["orders", { incarnation: "0123456789abcdef", epoch: 12 }],
] as const;
const WARM_UP_MS = 60_000;
const STEADY_MS = 20_000;
const LOSS_MS = 60_000;
const MAX_BYTES_A_SECOND = 3_000;
const MAX_DETECTION_MS = 15_000;
const SPREAD_ROUND_MS = 400;
const SECOND_MS = 1_000;

/** Measures traffic, failure detection and the spread of a leave at each size of the fleet. */
export function measureMembership(): BenchSection {
  const rows: BenchSection["rows"] = [];
  const missed: string[] = [];
  for (const members of SIZES) {
    const row = measureSize(members);
    rows.push(row);
    if (row.bytesLargest > MAX_BYTES_A_SECOND) {
      missed.push(`${row.bytesLargest} bytes a second at ${members} members`);
    }
    if (!(row.deathKnownMs <= MAX_DETECTION_MS)) {
      missed.push(`crash detected after ${row.deathKnownMs} ms at ${members} members`);
    }
    const limitMs = Math.ceil(Math.log2(members + 1)) * SPREAD_ROUND_MS;
    if (!(row.leaveKnownMs <= limitMs)) {
      missed.push(`leave known after ${row.leaveKnownMs} ms at ${members} members, not ${limitMs}`);
    }
  }
  for (const members of LOSS_SIZES) {
    for (const loss of LOSSES) {
      const row = measureLoss(members, loss);
      rows.push(row);
      if (row.deathsBelieved > 0) {
        missed.push(
          `${row.deathsBelieved} false failure detections at ${members} members, loss ${loss}`,
        );
      }
    }
  }
  return { name: "membership", rows, missed };
}

function measureSize(members: number) {
  const fleet = createFleetModel({ members, seed: members, isCounting: true, payloads: PAYLOADS });
  const allMembers = fleet.names.map((_, index) => index);
  fleet.runFor(WARM_UP_MS);
  for (const count of fleet.traffic) {
    Object.assign(count, { sent: 0, received: 0, messages: 0 });
  }
  fleet.runFor(STEADY_MS);
  const rates = fleet.traffic.map((count) =>
    (count.sent + count.received) / (STEADY_MS / SECOND_MS)
  );
  const messages = fleet.traffic.reduce((sum, count) => sum + count.messages, 0);
  fleet.leaveMember(1);
  const { leaving, dead } = MEMBER_STATUS;
  const leaveKnownMs = fleet.runUntil(() => fleet.isSeenBy(allMembers, 1, [leaving]), 60_000);
  fleet.stopMember(3);
  const deathKnownMs = fleet.runUntil(() => fleet.isSeenBy(allMembers, 3, [dead]), 60_000);
  return {
    members,
    neighbours: fleet.states[0]?.neighbours.length ?? 0,
    messagesSentASecond: messages / members / (STEADY_MS / SECOND_MS),
    bytesMean: Math.round(rates.reduce((sum, rate) => sum + rate, 0) / members),
    bytesLargest: Math.round(Math.max(...rates)),
    leaveKnownMs: leaveKnownMs ?? Number.POSITIVE_INFINITY,
    deathKnownMs: deathKnownMs ?? Number.POSITIVE_INFINITY,
  };
}

function measureLoss(members: number, loss: number) {
  const fleet = createFleetModel({ members, seed: 2 });
  fleet.runFor(10_000);
  const before = fleet.events.length;
  fleet.setFault({ loss });
  fleet.runFor(LOSS_MS);
  const events = fleet.events.slice(before);
  const count = (event: string) => events.filter((entry) => entry.event === event).length;
  return {
    members,
    loss,
    seconds: LOSS_MS / SECOND_MS,
    suspicions: count("memberSuspected"),
    deathsBelieved: count("memberDead"),
  };
}
