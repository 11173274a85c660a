import type { Clock, RandomSource } from "@crocussail/protocol";
import { ORDER_LIMITS } from "./constants.ts";
import type { KeyPrefix } from "./key_prefix_schema.ts";
import type { OrderAnswer } from "./order_answer.ts";
import { parseClaim } from "./parse_claim.ts";
import type { ReplicaClient } from "./replica_client.ts";

/** Options of {@link runOrder}. */
export interface OrderRunOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly replicaClient: ReplicaClient;
  readonly prefix: KeyPrefix;
  /** Monotonic time at which the caller stops waiting. */
  readonly deadlineMs: number;
  /** Makes one attempt with a new claim. */
  readonly attemptOrder: () => Promise<OrderAnswer>;
}

/**
 * Repeats attempts while another claim holds the key, until the order ends or the deadline is near.
 * The delays are random, so that competing claimants don't split the replicas' grants every time.
 */
export async function runOrder(run: OrderRunOptions): Promise<OrderAnswer> {
  const { clock, random } = run;
  for (let attempt = 0;; attempt++) {
    const answer = await run.attemptOrder();
    if (answer.type !== "contended") {
      return answer;
    }
    if (await isMajorityImpossible(run, answer.holders)) {
      const detail = "the daemon that had claimed this order stopped before it recorded an outcome";
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

/** True when ended processes hold so many grants that no claim can reach a majority. */
async function isMajorityImpossible(
  run: OrderRunOptions,
  claims: readonly string[],
): Promise<boolean> {
  const endedFlags = await Promise.all(claims.map(async (claim) => {
    const owner = parseClaim(claim);
    const identity = owner === undefined
      ? undefined
      : await run.replicaClient.fetchIdentity(owner.host);
    return identity !== undefined && identity.incarnation !== owner?.incarnation;
  }));
  const available = run.prefix.length - endedFlags.filter(Boolean).length;
  return available < Math.floor(run.prefix.length / 2) + 1;
}

function waitDelay(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.startTimer(delayMs, resolve);
  });
}
