// LOST: processes crash while an entry of another writer stands in the store.
import { runCase } from "../common/scenario.js";

/** Channels that may be closed without an answer, as the rule says. */
const ALLOWED = 3;
const LOAD_MS = 40_000;
const CALM_MS = 5_000;

await runCase({
  folder: new URL("./", import.meta.url),
  play: async ({ hasTrouble, store, fleet, clients, runs, note, sleep }) => {
    const load = clients.load(LOAD_MS);
    await sleep(CALM_MS);
    if (hasTrouble) {
      store.write("servers/forms-1", {
        ...{
          service: "ordering-app",
          address: "127.0.0.1:70000",
          zone: "suva-a",
          slots: 6,
        },
        state: "ready", // `version`, `cold_remaining_ms`, `sequence` and `born` are missing
      });
      note("another writer has written servers/forms-1");
    }
    const ended = await load;
    const runById = new Map(runs.map((run) => [run.attempt, run]));
    const lost = ended.filter(({ attempt, error, isKept }) =>
      isKept && runById.has(attempt) &&
      (error?.startsWith("channel closed") ||
        error?.startsWith("answer broken off"))
    );
    const exits = fleet.hosts.map(({ ends }) => ends.length);
    note(`processes that ended by themselves, by host: ${exits.join(", ")}`);
    note(`requests that ended with status 500: ${ended.filter((e) => e.status === 500).length}`);
    note(`requests on kept channels, run by a sound worker, closed unanswered: ${lost.length}`);
    return lost.length > ALLOWED;
  },
});
