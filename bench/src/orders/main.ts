import type { ServiceClient } from "@crocussail/daemon";
import { createLocalFleet } from "@crocussail/local_fleet";
import process from "node:process";
import { measureBytes } from "./measure_bytes.ts";
import { measureLatency } from "./measure_latency.ts";
import { measureMemory } from "./measure_memory.ts";
import { tallyOrders } from "./tally_orders.ts";
import type { OrderTally } from "./tally_orders.ts";

const ORDERS = 3_000;
const CONCURRENCY = 16;
const REPLACE_EVERY_MS = 700;
/** Limit of a daemon's control memory, and its number of keys in retained epochs at peak load. */
const MEMORY_TARGET_BYTES = 256 * 1024 * 1024;
const KEYS_AT_PEAK = 100_000;

async function runTally(isGraceful: boolean): Promise<OrderTally> {
  const dispatched = new Set<string>();
  const wrapService = (client: ServiceClient): ServiceClient => ({
    callService: (url, call) => {
      const { order } = JSON.parse(new TextDecoder().decode(call.body)) as { order: string };
      dispatched.add(order);
      return client.callService(url, call);
    },
  });
  const fleet = await createLocalFleet({ hosts: 5, wrapService });
  try {
    return await tallyOrders({
      fleet,
      orders: ORDERS,
      concurrency: CONCURRENCY,
      replaceEveryMs: REPLACE_EVERY_MS,
      dispatched,
      endDaemon: async (index) => {
        await (isGraceful ? fleet.daemons[index]?.daemon.shutdown() : fleet.stopDaemon(index));
      },
    });
  } finally {
    await fleet.close();
  }
}

const crashes = await runTally(false);
const restarts = await runTally(true);
const fleet = await createLocalFleet({ hosts: 5 });
const latency = await measureLatency(fleet, { orders: 500, concurrency: CONCURRENCY });
const bytes = await measureBytes(fleet, 500);
await fleet.close();
const memory = measureMemory([5_000, 10_000, 20_000, 40_000]);

const checks = {
  noDoubles: crashes.doubled + restarts.doubled === 0,
  everyAnswerTrue: crashes.untrue + restarts.untrue === 0,
  noneLost: crashes.lost + restarts.lost === 0,
  // After a crash only orders that the daemon had dispatched but not recorded may be unknown.
  unknownOnlyDispatched: crashes.unknownNotDispatched === 0,
  restartsCostNoKeys: restarts.unknown === 0,
  memoryWithinTarget: memory.bytesPerKey * KEYS_AT_PEAK <= MEMORY_TARGET_BYTES,
};
const isMet = Object.values(checks).every(Boolean);
const report = { isMet, checks, crashes, restarts, latency, bytes, memory };
console.log(process.argv.includes("--json") ? JSON.stringify(report, null, 2) : report);
process.exit(isMet ? 0 : 1);
