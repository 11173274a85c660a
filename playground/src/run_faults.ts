import { request } from "undici";
import { z } from "zod";
import { PLAYGROUND } from "./constants.ts";
import { runLoadProcess } from "./run_load_process.ts";
import { startDaemonProcess } from "./start_daemon_process.ts";
import type { DaemonProcess } from "./start_daemon_process.ts";
import { startProcess } from "./start_process.ts";
import type { StartedProcess } from "./start_process.ts";

const HOSTS = 5;
const KILLED_INDEX = 1;
const PAUSED_INDEX = 2;
const LEAVING_INDEX = 3;
const PAUSE_MS = 3_000;
const STEP_MS = 1_000;
const addressesSchema = z.object({ settingsUrl: z.string(), controlUrl: z.string() });
const runsSchema = z.record(z.string(), z.number());

/** Runs the fleet, the load and the faults; returns the guarantees that were violated. */
export async function runFaults(
  directory: string,
  print: (line: string) => void,
): Promise<string[]> {
  const processes: StartedProcess[] = [];
  const keep = <Process extends StartedProcess>(process: Process): Process => {
    processes.push(process);
    return process;
  };
  try {
    const standIns = keep(
      await startProcess({
        args: ["playground/dist/stand_ins_main.js"],
        readyStream: "stdout",
        parseReady: (line) => JSON.parse(line),
      }),
    );
    const addresses = addressesSchema.parse(standIns.ready);
    const startHost = async (index: number) =>
      keep(await startDaemonProcess({ index, directory, ...addresses }));
    const daemons: DaemonProcess[] = [];
    for (let index = 0; index < HOSTS; index++) {
      daemons.push(await startHost(index));
    }
    print(`started ${HOSTS} daemon processes and one stand-ins process`);
    const load = runLoadProcess(daemons[0]?.url ?? "");
    await applyFaults(daemons, startHost, print);
    const result = await load;
    print(result.table);
    const doubledCount = await countDoubledOrders(addresses.controlUrl);
    const exitCode = await daemons[LEAVING_INDEX]?.ended;
    print(`orders executed more than once: ${doubledCount}; exit code after SIGTERM: ${exitCode}`);
    return [
      ...result.violations,
      ...(doubledCount === 0 ? [] : [`${doubledCount} orders were executed more than once`]),
      ...(exitCode === 0 ? [] : [`the daemon that got SIGTERM exited with code ${exitCode}`]),
    ];
  } finally {
    processes.forEach(({ child }) => child.kill("SIGKILL"));
  }
}

/** Applies the faults in sequence. */
async function applyFaults(
  daemons: readonly DaemonProcess[],
  startHost: (index: number) => Promise<DaemonProcess>,
  print: (line: string) => void,
): Promise<void> {
  const killed = daemons[KILLED_INDEX];
  const paused = daemons[PAUSED_INDEX];
  const leaving = daemons[LEAVING_INDEX];
  await waitMs(STEP_MS);
  killed?.child.kill("SIGKILL");
  print(`${killed?.host} killed`);
  await waitMs(STEP_MS);
  paused?.child.kill("SIGSTOP");
  print(`${paused?.host} paused for ${PAUSE_MS} ms`);
  await waitMs(STEP_MS);
  // A hangup and a repeated stop signal must not end a draining process.
  (["SIGTERM", "SIGHUP", "SIGTERM"] as const).forEach((signal) => leaving?.child.kill(signal));
  print(
    `${leaving?.host} got SIGTERM, SIGHUP and SIGTERM; callers cache entry responses for ${PLAYGROUND.entryTtlMs} ms`,
  );
  await startHost(KILLED_INDEX);
  print(`${killed?.host} replaced by a new process`);
  await waitMs(PAUSE_MS - STEP_MS);
  paused?.child.kill("SIGCONT");
  print(`${paused?.host} resumed`);
}

async function countDoubledOrders(controlUrl: string): Promise<number> {
  const answer = await request(`${controlUrl}/runs`);
  const runs = runsSchema.parse(await answer.body.json());
  return Object.values(runs).filter((count) => count > 1).length;
}

function waitMs(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
