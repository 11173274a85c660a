// CONFIG: a process stands still for seconds after an answer with a wrong digits in its status.
import { createSpoiler } from "../common/create_spoiler.js";
import { judgeTimeouts } from "../common/judge_timeouts.js";
import { runCase } from "../common/scenario.js";

const LOAD_MS = 95_000;
const PROBE_MS = 1_000; // as often as the platform asks

const spoiler = createSpoiler("HTTP/1.1 000 OK", "HTTP/1.1 101 OK"); // in place of 200

await runCase({
  folder: new URL("./", import.meta.url),
  spoil: spoiler.spoil,
  play: async ({ fleet, clients, note, sleep }) => {
    let isOver = false;
    const watch = async ({ name, ip }) => {
      while (!isOver) {
        const askedAtMs = performance.now();
        await fetch(`http://${ip}:8749/readiness`).catch(() => undefined);
        const tookMs = performance.now() - askedAtMs;
        if (tookMs > PROBE_MS) {
          note(
            `${name} answered the readiness check after ${Math.round(tookMs)} ms`,
            askedAtMs,
          );
        }
        await sleep(Math.max(0, PROBE_MS - tookMs));
      }
    };
    const watches = fleet.hosts.map(watch);
    const ended = await clients.load(LOAD_MS, ["place", "status"]);
    isOver = true;
    await Promise.all(watches);
    note(`spoilt answers: ${spoiler.spoilt.size}`);
    const others = ended.filter(({ attempt }) => !spoiler.spoilt.has(attempt));
    return judgeTimeouts({ ended: others, note });
  },
});
