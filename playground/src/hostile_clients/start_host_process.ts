import { writeHostSettings } from "@crocussail/platform/stand_ins";
import { spawn } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";

/** Options of {@link startHostProcess}. */
export interface HostProcessOptions {
  readonly storeAddress: string;
  /** Memory of its machine, which the process must not exceed. */
  readonly memoryMb: number;
  /** Descriptors that the process may open. */
  readonly descriptors: number;
}

/** Addresses of a host, `ip:port`. */
export type HostListener = "callers" | "hosts" | "readiness" | "directory" | "metrics";

/** The bundled program as a process of its own. */
export interface HostProcess {
  readonly addresses: Readonly<Record<HostListener, string>>;
  isRunning(): boolean;
  /** Forgets the most memory that the process has had so far. */
  resetPeakMemory(): void;
  /** Reads the most memory that the process has had since then. */
  readPeakMemoryMib(): number;
  countDescriptors(): number;
  /** Returns what the process has written. */
  readOutput(): string;
  /** Sends the stop signal; resolves to the exit code once the process has ended. */
  stop(): Promise<number | null>;
  /** Kills the process if it still runs, and removes its files. */
  close(): void;
}

const PROGRAM = "target/crocussaild.cjs";
const ADDRESS = "127.0.6.1";
const DEPLOYMENT = "deploy/system.toml";
/** Resets the peak of the resident memory (proc(5), `clear_refs`). */
const RESET_PEAK = "5";
const KIB_PER_MIB = 1_024;

/** Starts the bundled program, which `npm run bundle` builds, with limits of its machine. */
export function startHostProcess(options: HostProcessOptions): HostProcess {
  const directory = mkdtempSync(join(tmpdir(), "crocussail-"));
  const settings = writeHostSettings({
    ...{ directory, name: "host-1", address: ADDRESS, dataCentre: "dc-1", graceSeconds: 8 },
    ...{ seeds: [`${ADDRESS}:7200`], storeAddress: options.storeAddress },
    ...{ memoryMb: options.memoryMb, descriptors: options.descriptors },
  });
  const child = spawn("sh", [
    "-c",
    `ulimit -n ${options.descriptors} && exec "$@"`,
    "sh",
    ...[process.execPath, ...readRuntimeOptions(), PROGRAM],
  ], {
    env: { PATH: process.env["PATH"], CROCUSSAIL_BOOT: settings },
    stdio: ["ignore", "pipe", "pipe"],
  });
  const output: Buffer[] = [];
  child.stdout.on("data", (data) => output.push(data));
  child.stderr.on("data", (data) => output.push(data));
  const ended = new Promise<number | null>((resolve) => child.once("exit", resolve));
  const isRunning = () => child.exitCode === null && child.signalCode === null;
  return {
    addresses: {
      callers: `${ADDRESS}:8740`,
      hosts: `${ADDRESS}:7200`,
      readiness: `${ADDRESS}:8749`,
      directory: `${ADDRESS}:8746`,
      metrics: `${ADDRESS}:9464`,
    },
    isRunning,
    resetPeakMemory: () => writeFileSync(`/proc/${child.pid}/clear_refs`, RESET_PEAK),
    readPeakMemoryMib: () => {
      const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
      return Number(/^VmHWM:\s*(\d+)/m.exec(status)?.[1]) / KIB_PER_MIB;
    },
    countDescriptors: () => readdirSync(`/proc/${child.pid}/fd`).length,
    readOutput: () => Buffer.concat(output).toString(),
    stop: () => {
      child.kill("SIGTERM");
      return ended;
    },
    close: () => {
      child.kill("SIGKILL");
      rmSync(directory, { recursive: true });
    },
  };
}

/** Reads the options of the runtime with which the program is deployed. */
function readRuntimeOptions(): string[] {
  const run = new RegExp(`^run = "node (.*) ${PROGRAM}"$`, "m")
    .exec(readFileSync(DEPLOYMENT, "utf8"));
  if (run === null) {
    throw new Error(`${DEPLOYMENT} has no command that runs ${PROGRAM}`);
  }
  return (run[1] ?? "").split(" ");
}
