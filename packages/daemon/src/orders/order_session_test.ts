import type { Clock, RandomSource } from "@crocussail/protocol";
import { expect } from "chai";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { createOrderTables } from "./create_order_tables.ts";
import { createOrderProblem } from "./create_order_problem.ts";
import type { OrderAnswer } from "./order_answer.ts";
import type { OrderOutcome } from "./order_outcome_schema.ts";
import type { ReplicaClient } from "./replica_client.ts";
import { runClaimant } from "./run_claimant.ts";
import { runOrder } from "./run_order.ts";

const GOLDEN = "packages/daemon/src/orders/order_session.golden.txt";
const PREFIX = ["toledo", "detroit", "cleveland"].map((host) => ({
  host,
  incarnation: `${host}-1`,
  epoch: 0,
}));
const COMPLETED: OrderOutcome = {
  type: "completed",
  status: 201,
  headers: {},
  body: new TextEncoder().encode("booked"),
  isBodyOmitted: false,
};
const CONNECTION_CLOSED: OrderOutcome = { type: "unknown", detail: "connection closed" };

/** Creates a session with three replicas that logs the messages of its attempts as text lines. */
function createSession() {
  const lines: string[] = [];
  let now = 0;
  let nextClaim = 1;
  const clock: Clock = {
    readWallTime: () => new Date(now),
    readMonotonicMs: () => now,
    startTimer: (delayMs, callback) => {
      let isCancelled = false;
      // Advances time only after all other pending callbacks have run.
      setImmediate(() =>
        setImmediate(() => {
          if (!isCancelled) {
            now += delayMs;
            callback();
          }
        })
      );
      return { cancel: () => isCancelled = true };
    },
  };
  const random: RandomSource = { nextFloat: () => 0, nextInteger: () => 0, nextHex: () => "00" };
  const startReplica = (host: string, start: number) =>
    createOrderTables({ host, incarnation: `${host}-${start}` });
  const replicas = new Map(PREFIX.map(({ host }) => [host, startReplica(host, 1)]));
  const replicaClient: ReplicaClient = {
    sendMessage: (replica, message) => {
      const reply = replicas.get(replica.host)?.applyMessage(message);
      const answer = reply === undefined ? "no answer" : reply.type;
      lines.push(`  ${message.type} ${message.claim} at ${replica.host}: ${answer}`);
      return Promise.resolve(reply);
    },
    fetchIdentity: () => Promise.resolve({ incarnation: "1", epoch: 0 }),
  };
  const describeAnswer = (answer: OrderAnswer) => {
    if (answer.type === "outcome" && answer.outcome.type === "completed") {
      return `status ${answer.outcome.status}, replayed ${answer.isReplay}`;
    }
    const problem = createOrderProblem(answer);
    return `${problem.code}, ran ${problem.ran}`;
  };
  const sendOrder = async (
    title: string,
    key: string,
    outcomes: (OrderOutcome | undefined)[] = [],
    digest = "digest",
  ) => {
    lines.push(`${title} (key ${key}, ${now} ms)`);
    const deadlineMs = now + 1_000;
    let resolveEnded = () => {};
    const ended = new Promise<void>((resolve) => resolveEnded = resolve);
    const attemptOrder = () =>
      runClaimant({
        clock,
        replicaClient,
        prefix: PREFIX,
        key,
        digest,
        claim: `buffalo/1/${nextClaim++}`,
        deadlineMs,
        upstreams: Math.max(1, outcomes.length),
        dispatch: (upstream) => {
          lines.push(`  dispatch to upstream ${upstream}`);
          return Promise.resolve(outcomes[upstream]);
        },
        onEnd: resolveEnded,
      });
    const answer = await runOrder({
      clock,
      random,
      replicaClient,
      prefix: PREFIX,
      deadlineMs,
      attemptOrder,
    });
    await ended;
    lines.push(`  answer: ${describeAnswer(answer)}`);
  };
  return { lines, replicas, sendOrder, startReplica };
}

describe("order session", () => {
  it("matches the golden session", async () => {
    const { lines, replicas, sendOrder, startReplica } = createSession();
    await sendOrder("first attempt", "a", [COMPLETED]);
    await sendOrder("repeat", "a");
    await sendOrder("same key, another body", "a", [], "other digest");
    await sendOrder("first upstream refuses", "b", [undefined, COMPLETED]);
    await sendOrder("every upstream refuses", "c", [undefined, undefined]);
    await sendOrder("repeat of the refused order", "c", [COMPLETED]);
    await sendOrder("connection breaks after the first byte", "d", [CONNECTION_CLOSED]);
    await sendOrder("repeat of the broken order", "d", [COMPLETED]);
    replicas.set("toledo", startReplica("toledo", 2));
    await sendOrder("repeat after one replica was replaced", "a");
    await sendOrder("new key with one replica replaced", "e", [COMPLETED]);
    replicas.delete("detroit");
    await sendOrder("new key with a second replica gone", "f", [COMPLETED]);
    replicas.set("detroit", startReplica("detroit", 2));
    await sendOrder("new key with two replicas replaced", "g", [COMPLETED]);
    await sendOrder("repeat with two replicas replaced", "a");
    const session = `${lines.join("\n")}\n`;
    if (process.env["UPDATE_GOLDEN"] === "1" && !existsSync(GOLDEN)) {
      writeFileSync(GOLDEN, session);
    }
    expect(session).to.equal(readFileSync(GOLDEN, "utf8"));
  });
});
