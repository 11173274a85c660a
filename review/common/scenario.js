// Runs one case: a small deployment as in vtcs-tagline, with the disruption unless TROUBLE is 0.
import { writeFileSync } from "node:fs";
import { createClients } from "./client.js";
import { buildConfig } from "./config.js";
import { findNetwork, sleep, startDaemons } from "./daemons.js";
import { startStore } from "./store.js";
import { startWorker } from "./worker.js";

const ZONES = ["suva-a", "nausori-b", "lautoka-c"];
const HOSTS = 6;
const STORE_PORT = 8742;
const EXIT = { held: 0, broken: 1, couldNotRun: 2 };
const MAX_RUN_MS = 115_000;

/** Workers of the deployment: the sheet's numbers, and three of a service that may replace one. */
const WORKERS = [
  { service: "drafting-llm", count: 8, slots: 24 },
  { service: "ordering-app", count: 3, slots: 6 },
  { service: "ordering-next", count: 3, slots: 6 },
];

/**
 * Plays `play`, which resolves to whether the rule was broken, writes `record.txt` into `folder` and
 * ends this process: 0 if the rule held, 1 if it was broken, 2 if the case could not run. `spoil`
 * replaces the status line of some answers of the first ordering worker.
 */
export async function runCase({ folder, play, spoil }) {
  const startMs = performance.now();
  const hasTrouble = process.env.TROUBLE !== "0";
  const lines = [];
  const attempts = [];
  const runs = [];
  const closers = [];
  const at = (ms = performance.now()) => ((ms - startMs) / 1_000).toFixed(3).padStart(8);
  const note = (text, ms) => {
    lines.push(`${at(ms)} ${text}`);
    console.log(`${at(ms)} ${text}`);
  };
  const end = async (code) => {
    await Promise.all(closers.toReversed().map((close) => close()));
    const listed = [
      ...attempts.map((
        attempt,
      ) => [attempt.sentAtMs, describeAttempt(attempt)]),
      ...runs.map((run) => [run.atMs, describeRun(run)]),
    ].sort(([left], [right]) => left - right);
    const text = [
      ...lines,
      "",
      ...listed.map(([ms, line]) => `${at(ms)} ${line}`),
      "",
    ].join("\n");
    writeFileSync(new URL("record.txt", folder), text);
    process.exit(code);
  };
  const giveUp = (reason) => {
    note(`the case could not run: ${reason}`);
    return end(EXIT.couldNotRun);
  };
  setTimeout(() => giveUp("it took too long"), MAX_RUN_MS).unref();
  ["SIGINT", "SIGTERM"].forEach((signal) => process.once(signal, () => giveUp(signal)));

  try {
    note(`trouble: ${hasTrouble ? "yes" : "no"}`);
    const network = await findNetwork();
    const store = await startStore(`${network}.1`, STORE_PORT);
    closers.push(store.close);
    store.write("op/config", buildConfig(3));
    for (const { service, count, slots } of WORKERS) {
      for (let index = 0; index < count; index++) {
        const isSpoilt = hasTrouble && service === "ordering-app" &&
          index === 0;
        const worker = await startWorker({
          ...{
            service,
            slots,
            store,
            host: `${network}.2`,
            zone: ZONES[index % ZONES.length],
          },
          id: `i-${service}-${index + 1}`,
          record: (run) => runs.push(run),
          ...(isSpoilt && spoil !== undefined ? { spoil } : {}),
        });
        closers.push(worker.close);
      }
    }
    const fleet = startDaemons({
      ...{
        network,
        count: HOSTS,
        storeAddress: store.address,
        zones: ZONES,
        note,
      },
    });
    closers.push(fleet.stop);
    await fleet.waitReady();
    const clients = createClients({
      hosts: fleet.hosts,
      record: (attempt) => attempts.push(attempt),
    });
    closers.push(clients.close);
    await sleep(3_500); // machines that have just started are not in touch for `contact_ms`
    note("the deployment is ready");
    const context = {
      hasTrouble,
      store,
      fleet,
      clients,
      attempts,
      runs,
      note,
      sleep,
    };
    const isBroken = await play(context);
    note(isBroken ? "the rule was broken" : "the rule held");
    await end(isBroken ? EXIT.broken : EXIT.held);
  } catch (error) {
    await giveUp(error.stack);
  }
}

function describeAttempt(
  { kind, attempt, address, status, tookMs, error, body },
) {
  const answer = error ?? `status ${status}, ${body.length} bytes`;
  return `sent ${kind} ${attempt} to ${address}: ${answer} after ${Math.round(tookMs)} ms`;
}

function describeRun({ attempt, worker, service, end, atMs, endAtMs }) {
  const tookMs = endAtMs === undefined ? "" : ` after ${Math.round(endAtMs - atMs)} ms`;
  return `run  ${attempt} at ${worker} of ${service}: ${end}${tookMs}`;
}
