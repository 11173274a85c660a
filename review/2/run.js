// CONFIG: a new version is not in force for many seconds after open channels have gone silent.
import { buildConfig } from "../common/config.js";
import { runCase } from "../common/scenario.js";

const CONFIGURATION_MS = 2_000;
/** Above `contact_ms`, so that all machines are in touch again when the version is written. */
const CALM_MS = 3_600;
const PROBE_MS = 250;
const ROUNDS = 13;
/** Time for which the hosts are asked after a confirmation in a round that keeps the bound. */
const ROUND_MS = 2_400;
/** Time after which the watch for the version ends; it has been broken for long by then. */
const LONGEST_MS = 26_000;

await runCase({
  folder: new URL("./", import.meta.url),
  play: async (
    { hasTrouble, store, fleet, clients, attempts, runs, note, sleep },
  ) => {
    const services = ["ordering-next", "ordering-app"];
    let former = "ordering-app";
    for (let round = 1; round <= ROUNDS; round++) {
      if (hasTrouble) {
        const count = store.silenceOpenChannels();
        note(`round ${round}: ${count} open channels to the store have gone silent`);
      }
      await sleep(CALM_MS);
      const next = services[(round - 1) % 2];
      const config = buildConfig(3 + 5 * round, { orderService: next });
      const confirmedAtMs = store.write("op/config", config);
      note(`round ${round}: version ${3 + 5 * round} confirmed, orders go to ${next}`);
      const sent = [];
      let isStale = true;
      for (let elapsedMs = 0; elapsedMs < (isStale ? LONGEST_MS : ROUND_MS);) {
        const all = fleet.hosts.map(({ ip }) => clients.send("place", `${ip}:8740`));
        sent.push(...all);
        const ended = await Promise.all(all);
        await sleep(PROBE_MS);
        elapsedMs = performance.now() - confirmedAtMs;
        isStale = ended.some(({ attempt }) => findService(runs, attempt) === former);
      }
      const late = (await Promise.all(sent)).filter(({ attempt, sentAtMs }) =>
        sentAtMs > confirmedAtMs + CONFIGURATION_MS &&
        findService(runs, attempt) === former
      );
      if (late.length > 0) {
        const lastMs = Math.max(...late.map(({ sentAtMs }) => sentAtMs)) -
          confirmedAtMs;
        const hosts = new Set(late.map(({ address }) => address)).size;
        note(`${late.length} orders sent over 2 s after it ran at ${former}, by ${hosts} hosts`);
        note(`the last of them was sent ${Math.round(lastMs)} ms after the confirmation`);
        return true;
      }
      former = next;
    }
    note(`${attempts.length} orders sent, none later than 2 s after a version by an older one`);
    return false;
  },
});

function findService(runs, attempt) {
  return runs.findLast((run) => run.attempt === attempt)?.service;
}
