import fastify from "fastify";
import type { FastifyReply } from "fastify";
import { startLoopbackServer } from "../start_loopback_server.ts";
import type { StandInServer } from "../stand_in_server.ts";

/** Fake plain service that counts how often each order was executed. */
export interface PlainService extends StandInServer {
  /** Execution count of each order, by the `order` field of its body. */
  getExecutionCounts(): ReadonlyMap<string, number>;
}

/** Options of {@link createPlainService}. */
export interface PlainServiceOptions {
  readonly port?: number;
  /** Time that a booking takes, in milliseconds. */
  readonly bookingMs?: number;
}

/** Body of a booking; with `fault`, the service executes it and sends a faulty response. */
interface Booking {
  readonly order: string;
  readonly fault?: "close" | "large";
}

/** Larger than the largest body that an order record contains, 64 KiB. */
const LARGE_ANSWER_BYTES = 200_000;

/**
 * Starts a fake plain service: `POST /bookings` executes an order, `GET /stock` returns the stock.
 * A booking with the fault `close` is executed, then its connection is closed; one with `large`
 * gets a response of 200 kB.
 */
export async function createPlainService(
  options: PlainServiceOptions = {},
): Promise<PlainService> {
  const runs = new Map<string, number>();
  const server = fastify();
  server.post("/bookings", async (request, reply) => {
    const { order, fault } = request.body as Booking;
    runs.set(order, (runs.get(order) ?? 0) + 1);
    const booking = `B-${runs.size}`;
    await waitBooking(options.bookingMs ?? 0);
    return fault === undefined
      ? reply.code(201).send({ order, booking })
      : sendFaultyReply(reply, fault);
  });
  server.get("/stock", () => ({ containers: 42 }));
  const loopbackServer = await startLoopbackServer(server, options.port);
  return { ...loopbackServer, getExecutionCounts: () => runs };
}

function waitBooking(delayMs: number): Promise<void> | undefined {
  return delayMs === 0 ? undefined : new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

function sendFaultyReply(reply: FastifyReply, fault: "close" | "large"): FastifyReply {
  if (fault === "large") {
    return reply.code(201).send({ filler: "x".repeat(LARGE_ANSWER_BYTES) });
  }
  reply.hijack();
  reply.raw.destroy();
  return reply;
}
