import { stateDumpSchema } from "@crocussail/protocol";
import { fetchKeyPrefix, sendBooking } from "@crocussail/local_fleet";
import type { LocalFleet } from "@crocussail/local_fleet";
import { request } from "undici";
import { z } from "zod";

/** Traffic between daemons for one order, without WebSocket and TCP headers. */
export interface OrderBytes {
  readonly orders: number;
  readonly framesPerOrder: number;
  readonly bytesPerOrder: number;
}

const CHANNEL = "orders";
const SETTLE_MS = 1_000;
const peersSchema = z.looseObject({
  traffic: z.record(z.string(), z.looseObject({ sentFrames: z.number(), sentBytes: z.number() })),
});

/** Sends orders one after another and counts the traffic between the daemons for them. */
export async function measureBytes(fleet: LocalFleet, orders: number): Promise<OrderBytes> {
  const before = await readTraffic(fleet);
  const prefix = await fetchKeyPrefix(fleet, 0);
  for (let index = 0; index < orders; index++) {
    const order = `bytes-${index}`;
    await sendBooking(fleet, 0, { key: `${prefix}${order}`, body: { order } });
  }
  // Release and record messages may still be in flight.
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
  const after = await readTraffic(fleet);
  return {
    orders,
    framesPerOrder: (after.frames - before.frames) / orders,
    bytesPerOrder: (after.bytes - before.bytes) / orders,
  };
}

async function readTraffic(fleet: LocalFleet): Promise<{ frames: number; bytes: number }> {
  const sum = { frames: 0, bytes: 0 };
  for (const { ports } of fleet.daemons) {
    const answer = await request(`http://127.0.0.1:${ports.operator}/state`, {
      headers: { authorization: `Bearer ${fleet.operatorToken}` },
    });
    const state = stateDumpSchema.parse(await answer.body.json());
    const { traffic } = peersSchema.parse(state.slices["peers"]);
    sum.frames += traffic[CHANNEL]?.sentFrames ?? 0;
    sum.bytes += traffic[CHANNEL]?.sentBytes ?? 0;
  }
  return sum;
}
