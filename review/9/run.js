// The open channels to the workers fall silent; later the clients of their streams leave.
import { request as openRequest } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import { createAttemptId } from "../common-2/client.js";
import { buildConfiguration, buildRoute, createDeployment } from "../common-2/deployment.js";
import { createEngine } from "../common-2/engine.js";
import { createLink } from "../common-2/link.js";
import { runScenario } from "../common-2/scenario.js";

const REQUESTS = 8;
/** Four times the objective of 1.8 s without an event: then clients abandon a stream. */
const PATIENCE_MS = 7_300;
const STOP_MS = 500;
/** Share of the streams at which workers may still be at work. */
const ALLOWED_SHARE = 0.25;

await runScenario(import.meta.url, async (context) => {
  const { record, hasTrouble, addCleanup } = context;
  const lastWorkMs = new Map();
  const recordStep = (who, what, fields) => {
    if (what === "event") {
      lastWorkMs.set(fields.request, performance.now());
    } else {
      record(who, what, fields);
    }
  };
  const deployment = await createDeployment({ ...context, hosts: ["127.0.49.1", "127.0.49.2"] });
  const links = [];
  for (const id of ["i-0001", "i-0002"]) {
    const engine = await createEngine({
      ...{ host: "127.0.50.1", id, zone: "zone-a", record: recordStep },
    });
    const link = await createLink("127.0.50.2", engine.address);
    links.push(link);
    addCleanup(() => {
      engine.close();
      link.close();
    });
    deployment.publish({ id, address: link.address }, "planner-llm");
  }
  deployment.configure(buildConfiguration({
    version: 7,
    routes: [buildRoute({
      ...{ prefix: "/plan/", kind: "streaming", service: "planner-llm", timeout_ms: 39_000 },
      ...{ target_latency_ms: 1_800, gap_target_ms: 180, sticky_sessions: true },
    })],
  }));
  await deployment.start();
  await wait(4_000);

  const requests = Array.from({ length: REQUESTS }, (_, index) => {
    const id = createAttemptId();
    const daemon = deployment.daemons[index % deployment.daemons.length];
    const [host, port] = daemon.front.split(":");
    const outgoing = openRequest({
      ...{ host, port, method: "POST", path: "/plan/2f", agent: false },
      headers: {
        Host: "ficu95.example",
        "Attempt-Id": id,
        Model: "m",
        "Token-Usage": "500,1600",
        "Length-Hint": "80",
        "Prompt-Prefix": `${id}:500`,
        "Deadline-Milliseconds": "39000",
        Credential: "key-one",
      },
    }, (response) => {
      response.on("error", () => {}).resume();
      record("client", "gets the head", { request: id, status: response.statusCode });
    });
    outgoing.on("error", () => {}).end("prompt");
    record("client", "sends", { request: id, to: daemon.name });
    return { id, outgoing };
  });
  await wait(2_000);
  if (lastWorkMs.size < requests.length) {
    throw new Error("not all requests run at a worker");
  }
  if (hasTrouble) {
    links.forEach((link) => link.silence());
    record("network", "the open channels to the workers are silent; new ones work");
  }
  await wait(PATIENCE_MS);
  requests.forEach(({ outgoing }) => outgoing.destroy());
  const leftMs = performance.now();
  record("clients", "leave");
  await wait(3_000);
  const late = requests.filter(({ id }) => (lastWorkMs.get(id) ?? 0) > leftMs + STOP_MS);
  for (const { id } of late) {
    record("late", id, { workedForMs: Math.round(lastWorkMs.get(id) - leftMs) });
  }
  return late.length <= requests.length * ALLOWED_SHARE ? [] : [
    `GONE: workers still worked on ${late.length} of ${requests.length} streams more than ` +
    `${STOP_MS} ms after their clients had left`,
  ];
});
