import process from "node:process";
import { createSeededRandom } from "@crocussail/daemon";
import { createTestFleet } from "@crocussail/daemon/fleet_hosts";
import { findDatagramKind } from "./find_datagram_kind.ts";
import type { DatagramKind } from "./find_datagram_kind.ts";

/** Size and load of a measured fleet. */
export interface ControlLoad {
  readonly hosts: number;
  readonly dataCentres: number;
  readonly placementsPerSecond: number;
  readonly seconds: number;
}

/** What the reports of a fleet take in a second. */
export interface ControlCost {
  readonly datagrams: number;
  readonly bytes: number;
  readonly byKind: ReadonlyMap<DatagramKind, { datagrams: number; bytes: number }>;
  /** Processor time of the hosts' code in milliseconds, by what called it. */
  readonly processorMs: { readonly datagram: number; readonly timer: number };
  /** Mean time from a placement to each host's knowledge of it, in milliseconds, and the 99th percentile. */
  readonly loadAgeMs: { readonly mean: number; readonly p99: number };
}

const KEY = "0123456789abcdef0123456789abcdef";
const STEP_MS = 2;
const PREFILL_MS = 400;
const GENERATION_MS = 1_500;
const REPORTED_BY_FLEET = 300;

/** Runs a fleet in this process, all hosts on one clock, and measures its reports. */
export async function measureControl(load: ControlLoad): Promise<ControlCost> {
  const processorMs = { datagram: 0, timer: 0 };
  const ages: number[] = [];
  const placedMs = new Map<string, number>();
  const seen = new Set<string>();
  let isMeasuring = false;
  const sent: { isBetween: boolean; datagram: Uint8Array }[] = [];
  const fleet = await createTestFleet({
    hosts: load.hosts,
    dataCentres: load.dataCentres,
    reportedUpstreams: Math.min(12, Math.max(3, Math.round(REPORTED_BY_FLEET / load.hosts))),
    recordDatagram: (sender, receiver, datagram) => {
      if (isMeasuring) {
        const isBetween = sender % load.dataCentres !== receiver % load.dataCentres;
        sent.push({ isBetween, datagram });
      }
    },
    receiveReport: (receiver, { report }) => {
      for (const [id] of report.loads) {
        const atMs = placedMs.get(id);
        const observation = `${receiver} ${id}`;
        if (atMs !== undefined && !seen.has(observation)) {
          seen.add(observation);
          if (isMeasuring) {
            ages.push(fleet.clock.readMonotonicMs() - atMs);
          }
        }
      }
    },
    runCall: (cause, call) => {
      const before = process.cpuUsage();
      call();
      const { user, system } = process.cpuUsage(before);
      processorMs[cause] += isMeasuring ? (user + system) / 1_000 : 0;
    },
  });
  const random = createSeededRandom(7);
  const due: { readonly atMs: number; readonly change: () => void }[] = [];
  const place = (number: number) => {
    const host = random.nextInteger(load.hosts);
    const id = `placed-${number}`;
    const change = (prefilling: number) => {
      const others = (fleet.loads.get(host) ?? []).filter(([known]) => known !== id);
      fleet.loads.set(host, prefilling < 0 ? others : [...others, [id, 1, 3_000, prefilling]]);
    };
    const nowMs = fleet.clock.readMonotonicMs();
    placedMs.set(id, nowMs);
    change(3_000);
    fleet.hosts[host]?.scheduleUrgentReport();
    [[PREFILL_MS, 0], [GENERATION_MS, -1]].forEach(([delayMs = 0, prefilling = 0]) =>
      due.push({
        atMs: nowMs + delayMs,
        change: () => {
          change(prefilling);
          fleet.hosts[host]?.scheduleReport();
        },
      })
    );
  };
  const run = (seconds: number) => {
    for (let ms = 0; ms < seconds * 1_000; ms += STEP_MS) {
      if (random.nextFloat() < load.placementsPerSecond * STEP_MS / 1_000) {
        place(placedMs.size);
      }
      const nowMs = fleet.clock.readMonotonicMs();
      for (let index = due.length - 1; index >= 0; index--) {
        if ((due[index]?.atMs ?? nowMs + 1) <= nowMs) {
          due.splice(index, 1)[0]?.change();
        }
      }
      fleet.clock.advance(STEP_MS);
    }
  };
  run(2); // until the code is compiled and the placements of the first seconds end
  isMeasuring = true;
  run(load.seconds);
  const byKind = new Map<DatagramKind, { datagrams: number; bytes: number }>();
  for (const { isBetween, datagram } of sent) {
    const kind = findDatagramKind(datagram, KEY, isBetween);
    const count = byKind.get(kind) ?? { datagrams: 0, bytes: 0 };
    byKind.set(kind, { datagrams: count.datagrams + 1, bytes: count.bytes + datagram.length });
  }
  ages.sort((left, right) => left - right);
  const perSecond = (value: number) => value / load.seconds;
  const counts = [...byKind].map(([kind, { datagrams, bytes }]) =>
    [kind, { datagrams: perSecond(datagrams), bytes: perSecond(bytes) }] as const
  );
  return {
    datagrams: counts.reduce((sum, [, { datagrams }]) => sum + datagrams, 0),
    bytes: counts.reduce((sum, [, { bytes }]) => sum + bytes, 0),
    byKind: new Map(counts),
    processorMs: {
      datagram: perSecond(processorMs.datagram),
      timer: perSecond(processorMs.timer),
    },
    loadAgeMs: {
      mean: ages.reduce((sum, age) => sum + age, 0) / ages.length,
      p99: ages[Math.floor(ages.length * 0.99)] ?? 0,
    },
  };
}
