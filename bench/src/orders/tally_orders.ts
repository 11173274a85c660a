import { fetchKeyPrefix, sendBookingWithRetries } from "@crocussail/local_fleet";
import type { LocalFleet, OrderResult } from "@crocussail/local_fleet";

/** Order counts of a run with faults. */
export interface OrderTally {
  readonly orders: number;
  readonly completed: number;
  readonly refused: number;
  readonly unknown: number;
  /** Orders with an unknown outcome that no daemon had sent to the service. */
  readonly unknownNotDispatched: number;
  readonly lost: number;
  /** Orders that the service executed more than once. */
  readonly doubled: number;
  /** Orders with a wrong outcome: `no` although executed, or `yes` although not executed. */
  readonly untrue: number;
  readonly replacements: number;
}

/** Options of {@link tallyOrders}. */
export interface TallyOptions {
  readonly fleet: LocalFleet;
  readonly orders: number;
  readonly concurrency: number;
  /** Time between two replacements of a daemon, in milliseconds. */
  readonly replaceEveryMs: number;
  /** Orders that any daemon has started to send to the service. */
  readonly dispatched: ReadonlySet<string>;
  /** Ends a daemon before it is replaced: by a crash or a graceful shutdown. */
  readonly endDaemon: (index: number) => Promise<void>;
}

/** Sends orders to two hosts at once while daemons are replaced one after another. */
export async function tallyOrders(options: TallyOptions): Promise<OrderTally> {
  const { fleet, orders, concurrency } = options;
  const ends: OrderResult[][] = [];
  let next = 0;
  let isFinished = false;
  let replacements = 0;
  let leaving = -1;

  const sendOrders = async () => {
    while (next < orders) {
      const index = next++;
      ends[index] = await sendOrder(fleet, index, leaving);
    }
  };
  const replaceDaemons = async () => {
    while (!isFinished) {
      await new Promise((resolve) => {
        setTimeout(resolve, options.replaceEveryMs);
      });
      const index = replacements % fleet.daemons.length;
      leaving = index;
      await options.endDaemon(index);
      await fleet.replaceDaemon(index);
      leaving = -1;
      replacements++;
    }
  };
  const replacing = replaceDaemons();
  await Promise.all(Array.from({ length: concurrency }, sendOrders));
  isFinished = true;
  await replacing;
  return { ...countEnds(options, ends), replacements };
}

/** Sends an order to two hosts at once, neither of which is the daemon that is being replaced. */
async function sendOrder(
  fleet: LocalFleet,
  index: number,
  leaving: number,
): Promise<OrderResult[]> {
  const hosts = fleet.daemons
    .map((_daemon, host) => (host + index) % fleet.daemons.length)
    .filter((host) => host !== leaving);
  const body = { order: `order-${index}` };
  const prefix = await fetchPrefix(fleet, hosts);
  const key = `${prefix}${body.order}`;
  return Promise.all([
    sendBookingWithRetries({ fleet, key, body, hosts }),
    sendBookingWithRetries({ fleet, key, body, hosts: [...hosts].reverse() }),
  ]);
}

async function fetchPrefix(fleet: LocalFleet, hosts: readonly number[]): Promise<string> {
  for (let attempt = 0;; attempt++) {
    const host = hosts[attempt % hosts.length] ?? 0;
    const prefix = await fetchKeyPrefix(fleet, host).catch(() => undefined);
    if (prefix !== undefined) {
      return prefix;
    }
  }
}

/** Counts each order by the best outcome that one of its two callers received. */
function countEnds(
  { fleet, dispatched }: TallyOptions,
  ends: readonly OrderResult[][],
): Omit<OrderTally, "replacements"> {
  const runs = fleet.service.getExecutionCounts();
  const tally = {
    completed: 0,
    refused: 0,
    unknown: 0,
    unknownNotDispatched: 0,
    lost: 0,
    doubled: 0,
    untrue: 0,
  };
  for (const [index, pair] of ends.entries()) {
    const count = runs.get(`order-${index}`) ?? 0;
    const types = pair.map((end) => end.type);
    const best = (["completed", "refused", "unknown"] as const).find((type) =>
      types.includes(type)
    );
    tally[best ?? "lost"]++;
    const isNotDispatched = best === "unknown" && !dispatched.has(`order-${index}`);
    tally.unknownNotDispatched += isNotDispatched ? 1 : 0;
    tally.doubled += count > 1 ? 1 : 0;
    const isUntrue = (types.includes("refused") && count > 0) ||
      (types.includes("completed") && count === 0);
    tally.untrue += isUntrue ? 1 : 0;
  }
  return { orders: ends.length, ...tally };
}
