// CONFIG: a request whose answer has one wrong byte in its status line is never answered.
import { ROUTE_TIMEOUT_MS } from "../common/config.js";
import { createSpoiler } from "../common/create_spoiler.js";
import { judgeTimeouts } from "../common/judge_timeouts.js";
import { runCase } from "../common/scenario.js";

const LOAD_MS = 90_000;
const WRONG_BYTE = "\xcf"; // "O" with its highest bit set

const spoiler = createSpoiler(`HTTP/1.1 200 ${WRONG_BYTE}K`);

await runCase({
  folder: new URL("./", import.meta.url),
  spoil: spoiler.spoil,
  play: async ({ clients, note }) => {
    const ended = await clients.load(LOAD_MS, ["place", "status"]);
    note(`spoilt answers: ${spoiler.spoilt.size}`);
    const held = ended.filter(({ attempt, kind, tookMs }) =>
      spoiler.spoilt.has(attempt) && tookMs > ROUTE_TIMEOUT_MS[kind]
    );
    note(`of these held until their client gave up: ${held.length}`);
    return judgeTimeouts({ ended, note });
  },
});
