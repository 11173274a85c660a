import type { Clock, RandomSource } from "@crocussail/protocol";
import { ORDER_LIMITS } from "./constants.ts";
import type { KeyPrefix } from "./key_prefix_schema.ts";
import type { OrderAnswer } from "./order_answer.ts";
import { parseClaim } from "./parse_claim.ts";
import type { ReplicaLink } from "./replica_link.ts";

/** Options of {@link runOrder}. */
export interface OrderRun {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly link: ReplicaLink;
  readonly prefix: KeyPrefix;
  /** Monotonic time until which the caller waits. */
  readonly deadlineMs: number;
  /** Makes one attempt with a claim of its own. */
  readonly attemptOrder: () => Promise<OrderAnswer>;
}

/**
 * Attempts an order until it ends, while another claim holds the key and the deadline allows. The
 * delays are random, so that claimants that split the replicas don't do so again and again.
 */
export async function runOrder(run: OrderRun): Promise<OrderAnswer> {
  const { clock, random } = run;
  for (let attempt = 0;; attempt++) {
    const answer = await run.attemptOrder();
    if (answer.type !== "contended") {
      return answer;
    }
    if (await isMajorityDead(run, answer.holders)) {
      const detail = "the daemon that held the order ended before it recorded an outcome";
      return { type: "outcome", outcome: { type: "unknown", detail }, isReplay: true };
    }
    const { pollDelayMs, maxPollDelayMs } = ORDER_LIMITS;
    const ceilingMs = Math.min(maxPollDelayMs, pollDelayMs * 2 ** attempt);
    const delayMs = ceilingMs * (0.5 + random.nextFloat() / 2);
    if (clock.readMonotonicMs() + delayMs >= run.deadlineMs) {
      return answer;
    }
    await waitDelay(clock, delayMs);
  }
}

/** True when ended processes hold so many grants that no majority is left for anyone. */
async function isMajorityDead(run: OrderRun, holders: readonly string[]): Promise<boolean> {
  const dead = await Promise.all(holders.map(async (claim) => {
    const owner = parseClaim(claim);
    const identity = owner === undefined ? undefined : await run.link.askIdentity(owner.host);
    return identity !== undefined && identity.incarnation !== owner?.incarnation;
  }));
  const left = run.prefix.length - dead.filter(Boolean).length;
  return left < Math.floor(run.prefix.length / 2) + 1;
}

function waitDelay(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.startTimer(delayMs, resolve);
  });
}
