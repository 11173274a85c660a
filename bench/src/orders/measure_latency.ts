import { fetchKeyPrefix, sendBooking } from "@crocussail/local_fleet";
import type { LocalFleet } from "@crocussail/local_fleet";
import { build } from "hdr-histogram-js";
import { request } from "undici";

/** Latencies in milliseconds and throughput. */
export interface LatencyReport {
  /** Direct call of the plain service, without a daemon. */
  readonly directP50Ms: number;
  readonly orderP50Ms: number;
  readonly orderP99Ms: number;
  /** Difference of the medians: the hop through one daemon and one round trip to the replicas. */
  readonly addedP50Ms: number;
  readonly ordersPerSecond: number;
}

const MICROSECONDS_PER_MS = 1_000;

/** Measures sequential orders, then four times as many concurrent orders, on one daemon. */
export async function measureLatency(
  fleet: LocalFleet,
  options: { readonly orders: number; readonly concurrency: number },
): Promise<LatencyReport> {
  const direct = await sampleCalls(options.orders, (index) => sendDirectly(fleet, `d-${index}`));
  const prefix = await fetchKeyPrefix(fleet, 0);
  const sendOrder = (name: string) =>
    sendBooking(fleet, 0, { key: `${prefix}${name}`, body: { order: name } });
  const order = await sampleCalls(options.orders, (index) => sendOrder(`s-${index}`));
  const startMs = performance.now();
  let next = 0;
  const sendOrders = async () => {
    while (next < options.orders * 4) {
      await sendOrder(`p-${next++}`);
    }
  };
  await Promise.all(Array.from({ length: options.concurrency }, sendOrders));
  const seconds = (performance.now() - startMs) / 1_000;
  const directP50Ms = direct.getValueAtPercentile(50) / MICROSECONDS_PER_MS;
  const orderP50Ms = order.getValueAtPercentile(50) / MICROSECONDS_PER_MS;
  return {
    directP50Ms,
    orderP50Ms,
    orderP99Ms: order.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
    addedP50Ms: orderP50Ms - directP50Ms,
    ordersPerSecond: Math.round((options.orders * 4) / seconds),
  };
}

async function sampleCalls(count: number, call: (index: number) => Promise<unknown>) {
  const histogram = build();
  for (let index = 0; index < count; index++) {
    const startMs = performance.now();
    await call(index);
    histogram.recordValue(Math.round((performance.now() - startMs) * MICROSECONDS_PER_MS));
  }
  return histogram;
}

async function sendDirectly(fleet: LocalFleet, order: string): Promise<void> {
  const answer = await request(`${fleet.service.url}/bookings`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({ order }),
    reset: true,
  });
  await answer.body.dump();
}
