import { request } from "undici";
import type { LocalDaemon } from "./local_daemon.ts";

const POLL_MS = 20;
const MAX_POLLS = 1_000;

/**
 * Waits until a daemon reports that it is ready, which it is after it has compared its settings and
 * its view of the fleet with its peers.
 */
export async function waitUntilReady({ daemon, ports }: LocalDaemon): Promise<void> {
  for (let poll = 0; poll < MAX_POLLS; poll++) {
    const answer = await request(`http://127.0.0.1:${ports.operator}/ready`);
    await answer.body.dump();
    if (answer.statusCode === 200) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`${daemon.host} is not ready after ${POLL_MS * MAX_POLLS} ms`);
}
