import fastify from "fastify";
import { startLoopbackServer } from "../start_loopback_server.ts";
import type { StandInServer } from "../stand_in_server.ts";

/** A copy of a model that the fake engine holds. */
export interface EngineCopy {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: string;
  readonly state: "loading" | "ready" | "failed";
  readonly isServing: boolean;
}

/** Options of {@link createPlacementEngine}. */
export interface PlacementEngineOptions {
  /** Whether to refuse orders with an outdated fencing token. */
  readonly checksFencing: boolean;
  /** Maximum number of copies; two allow a version change without an interruption. */
  readonly capacity?: number;
  /** Versions that fail their readiness check. */
  readonly badVersions?: readonly string[];
  /** Duration of a load in milliseconds; without it, loads end only by `finishLoads`. */
  readonly loadMs?: number;
}

/** Fake of the placement API of a model engine. */
export interface PlacementEngine extends StandInServer {
  listCopies(): readonly EngineCopy[];
  /** Lists the accepted orders, oldest first, as `kind model@version fence`. */
  listOrders(): readonly string[];
  countRefused(): number;
  /** Finishes every running load. */
  finishLoads(): void;
}

interface OrderBody extends Omit<EngineCopy, "state" | "isServing"> {
  readonly kind: "load" | "serve" | "keep" | "unload";
  readonly fence: number;
}

const CONFLICT = 409;
const INSUFFICIENT_STORAGE = 507;

/** Starts a fake engine without copies. */
export async function createPlacementEngine(
  options: PlacementEngineOptions,
): Promise<PlacementEngine> {
  const capacity = options.capacity ?? 2;
  const orders: string[] = [];
  let copies: EngineCopy[] = [];
  let fence = 0;
  let refused = 0;

  const isSame = (copy: EngineCopy, order: OrderBody) =>
    copy.model === order.model && copy.version === order.version &&
    copy.adapters.join() === order.adapters.join();
  const finishLoads = () => {
    copies = copies.map((copy) =>
      copy.state === "loading"
        ? { ...copy, state: options.badVersions?.includes(copy.version) ? "failed" : "ready" }
        : copy
    );
  };
  const applyOrder = (order: OrderBody): number => {
    const { model, version, adapters, role } = order;
    const existingCopy = copies.find((copy) => isSame(copy, order));
    if (order.kind === "load" && existingCopy === undefined) {
      if (copies.length >= capacity) {
        return INSUFFICIENT_STORAGE;
      }
      copies.push({ model, version, adapters, role, state: "loading", isServing: false });
      if (options.loadMs !== undefined) {
        setTimeout(finishLoads, options.loadMs);
      }
    }
    if (order.kind === "serve") {
      if (existingCopy?.state !== "ready") {
        return CONFLICT;
      }
      copies = copies.map((copy) =>
        copy.model === model ? { ...copy, role, isServing: copy === existingCopy } : copy
      );
    }
    if (order.kind === "unload") {
      copies = copies.filter((copy) => copy !== existingCopy);
    }
    return 200;
  };

  const server = fastify();
  server.get("/v1/placement", () => ({
    fence: options.checksFencing ? fence : 0,
    capacity,
    copies,
  }));
  server.post("/v1/placement", (request, reply) => {
    const order = request.body as OrderBody;
    if (options.checksFencing && order.fence < fence) {
      refused += 1;
      return reply.code(CONFLICT).send({ fence });
    }
    fence = Math.max(fence, order.fence);
    orders.push(`${order.kind} ${order.model}@${order.version} ${order.fence}`);
    return reply.code(applyOrder(order)).send({ fence });
  });
  const loopbackServer = await startLoopbackServer(server);
  return {
    ...loopbackServer,
    listCopies: () => copies,
    listOrders: () => orders,
    countRefused: () => refused,
    finishLoads,
  };
}
