import { writeHostSettings } from "@crocussail/platform/soak";
import { spawn } from "node:child_process";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";

const ADDRESS = "127.0.5.11";
const GRACE_SECONDS = 8;
const START_TIMEOUT_MS = 10_000;
/** Requests that leave more log lines than a pipe holds. */
const REQUESTS = 900;
const BATCH = 150;
const BATCH_INTERVAL_MS = 1_000;

/**
 * Starts the program with an output that nobody reads, fills it with log lines and sends the stop
 * signal; returns what is wrong. It guards against a process that stays until it is killed.
 */
export async function checkUnreadOutput(
  program: string,
  directory: string,
): Promise<string | undefined> {
  const settings = writeHostSettings({
    ...{ directory, name: "unread", address: ADDRESS, dataCentre: "dc-1" },
    ...{ seeds: [`${ADDRESS}:8748`], storeAddress: `${ADDRESS}:1`, graceSeconds: GRACE_SECONDS },
  });
  const child = spawn(process.execPath, [program], {
    env: { PATH: process.env["PATH"], CROCUSSAIL_BOOT: settings },
    stdio: ["ignore", "pipe", "ignore"],
  });
  child.stdout.pause();
  const ended = new Promise<void>((resolve) => child.once("exit", () => resolve()));
  try {
    await waitForListener();
    for (let sent = 0; sent < REQUESTS; sent += BATCH) {
      await Promise.all(Array.from({ length: BATCH }, sendRequest));
      await sleep(BATCH_INTERVAL_MS);
    }
    child.kill("SIGTERM");
    const isEnded = await Promise.race([
      ended.then(() => true),
      sleep(GRACE_SECONDS * 1_000, false),
    ]);
    return isEnded ? undefined : `it still runs ${GRACE_SECONDS} s after the stop signal`;
  } finally {
    child.kill("SIGKILL");
    child.stdout.destroy();
  }
}

async function sendRequest(): Promise<boolean> {
  try {
    const { body } = await request(`http://${ADDRESS}:8740/x`);
    await body.dump();
    return true;
  } catch {
    return false; // it is still starting
  }
}

async function waitForListener(): Promise<void> {
  const endMs = Date.now() + START_TIMEOUT_MS;
  while (!await sendRequest()) {
    if (Date.now() > endMs) {
      throw new Error("the program does not accept requests");
    }
    await sleep(100);
  }
}
