// Both hosts that read the workers for the others are cut off from the store; after the cut a worker
// leaves without a word.
import { setTimeout as wait } from "node:timers/promises";
import { createAttemptId, sendRequest } from "../common-2/client.js";
import { buildConfiguration, buildRoute, createDeployment } from "../common-2/deployment.js";
import { createDesk } from "../common-2/desk.js";
import { runScenario } from "../common-2/scenario.js";

const DRAIN_MS = 2_000;
const HOSTS = ["127.0.45.1", "127.0.45.2", "127.0.45.3", "127.0.45.4"];
/** Of hosts of one size, the first one reads, and the first one of another zone. */
const READERS = HOSTS.slice(0, 2);
/** Requests a second at each of the other hosts. */
const RATE = 20;
const CUT_MS = 4_000;
/** Times after the end of the cut at which a worker's entry is removed. */
const REMOVALS_MS = [400, 700, 1_000];
/** Each of these workers serves for `drain_ms` after that and a little longer, and then ends. */
const LINGER_MS = 250;
const WORK_MS = 150;

await runScenario(import.meta.url, async (context) => {
  const { record, hasTrouble, addCleanup } = context;
  const arrivals = [];
  const statuses = new Map();
  const recordStep = (who, what, fields) => {
    const atMs = record(who, what, fields);
    if (what === "arrives") {
      arrivals.push({ who, atMs, ...fields });
    }
  };
  const deployment = await createDeployment({ ...context, hosts: HOSTS, linkedHosts: READERS });
  const desks = [];
  for (const id of ["i-0001", "i-0002", "i-0003", "i-0004", "i-0005"]) {
    const desk = await createDesk({
      ...{ host: "127.0.46.1", id, record: recordStep, workMs: WORK_MS },
    });
    desks.push(desk);
    addCleanup(() => desk.close());
    deployment.publish(desk, "depot-desk");
  }
  deployment.configure(buildConfiguration({
    version: 7,
    routes: [buildRoute({
      ...{ prefix: "/book/", kind: "non_idempotent", service: "depot-desk", timeout_ms: 2_000 },
      ...{ target_latency_ms: 300, priority: 2 },
    })],
  }));
  await deployment.start();
  await wait(4_000);

  const timers = deployment.daemons.slice(READERS.length).map((daemon) =>
    setInterval(async () => {
      const id = createAttemptId();
      const answer = await sendRequest({
        ...{ address: daemon.front, method: "POST", path: "/book/2f", body: `booking ${id}` },
        headers: {
          Host: "ficu95.example",
          "Attempt-Id": id,
          "Deadline-Milliseconds": "4000",
          Credential: "key-one",
        },
      });
      record("client", "gets", { request: id, from: daemon.name, status: answer.status });
      statuses.set(id, answer.status);
    }, 1_000 / RATE)
  );
  addCleanup(() => timers.forEach((timer) => clearInterval(timer)));
  await wait(1_000);

  if (hasTrouble) {
    deployment.links.forEach((link) => link.cut());
    record("network", "cuts the first two hosts off from the store");
  }
  await wait(CUT_MS);
  if (hasTrouble) {
    deployment.links.forEach((link) => link.heal());
    record("network", "has healed");
  }
  const healedMs = performance.now();
  const removedAtMs = new Map();
  for (const [index, ms] of REMOVALS_MS.entries()) {
    await wait(Math.max(0, healedMs + ms - performance.now()));
    const desk = desks[index];
    deployment.silence(desk.id, true);
    removedAtMs.set(desk.id, record(desk.id, "serves on for some time"));
    setTimeout(() => {
      record(desk.id, "ends");
      desk.close();
    }, DRAIN_MS + LINGER_MS);
  }
  await wait(DRAIN_MS + 2_000);
  if (REMOVALS_MS.some((_, index) => !arrivals.some(({ who }) => who === desks[index].id))) {
    throw new Error("a worker got no request while it was there");
  }
  const late = arrivals
    .map(({ who, atMs, request }) => ({ who, request, lateMs: atMs - removedAtMs.get(who) }))
    .filter(({ lateMs }) => lateMs > DRAIN_MS);
  late.forEach(({ who, request, lateMs }) =>
    record("late", request, {
      worker: who,
      afterMs: Math.round(lateMs),
      status: statuses.get(request) ?? "none",
    })
  );
  return late.length === 0 ? [] : [
    `DRAIN: ${late.length} requests reached a worker more than ${DRAIN_MS} ms after its entry was ` +
    `removed, the latest ${
      Math.round(Math.max(...late.map(({ lateMs }) => lateMs)))
    } ms after it, ` +
    "all sent on by hosts that were never cut off",
  ];
});
