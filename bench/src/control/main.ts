import process from "node:process";
import { measureControl } from "./measure_control.ts";

const DATA_CENTRES: Readonly<Record<number, number>> = { 23: 3, 73: 4, 195: 6 };
const SECONDS = 6;
const PLACEMENTS_PER_SECOND = 60;

const sizes = process.argv.slice(2).map(Number);
for (const hosts of sizes.length > 0 ? sizes : Object.keys(DATA_CENTRES).map(Number)) {
  const cost = await measureControl({
    hosts,
    dataCentres: DATA_CENTRES[hosts] ?? 4,
    placementsPerSecond: PLACEMENTS_PER_SECOND,
    seconds: SECONDS,
  });
  const { datagram, timer } = cost.processorMs;
  console.log(
    `${hosts} hosts: ${cost.datagrams.toFixed(0)} datagrams and ` +
      `${(cost.bytes / 1_000).toFixed(0)} KB a second; the hosts' code takes ` +
      `${(datagram + timer).toFixed(0)} ms a second, ${datagram.toFixed(0)} for datagrams and ` +
      `${timer.toFixed(0)} for timers; a load is ${cost.loadAgeMs.mean.toFixed(0)} ms old when ` +
      `it arrives, ${cost.loadAgeMs.p99.toFixed(0)} at the 99th percentile`,
  );
  for (const [kind, { datagrams, bytes }] of cost.byKind) {
    console.log(`  ${kind}: ${datagrams.toFixed(0)} datagrams, ${(bytes / 1_000).toFixed(0)} KB`);
  }
}
