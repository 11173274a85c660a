import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import process from "node:process";
import { createInterface } from "node:readline";
import { PLAYGROUND } from "./constants.ts";

/** Options of {@link startProcess}. */
export interface ProcessOptions {
  /** Compiled module and its arguments. */
  readonly args: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
  /** Stream that the process writes its ready line to. */
  readonly readyStream: "stdout" | "stderr";
  /** Returns the parsed ready line, or undefined for any other line. */
  readonly parseReady: (line: string) => unknown;
}

/** A started process and its parsed ready line. */
export interface StartedProcess {
  readonly child: ChildProcess;
  readonly ready: unknown;
  /** Resolves with the exit code; null after a signal. */
  readonly ended: Promise<number | null>;
}

/** Starts a process and waits until it is ready. */
export function startProcess(options: ProcessOptions): Promise<StartedProcess> {
  const child = spawn(process.execPath, options.args, {
    env: { ...process.env, ...options.environment },
    stdio: ["ignore", "pipe", "pipe"],
  });
  const ended = new Promise<number | null>((resolve) => child.on("exit", resolve));
  child.stdout.resume();
  child.stderr.resume();
  return new Promise((resolve, reject) => {
    const fail = (reason: string) => reject(new Error(`${options.args.join(" ")}: ${reason}`));
    const timer = setTimeout(() => fail("not ready in time"), PLAYGROUND.startTimeoutMs);
    createInterface({ input: child[options.readyStream] }).on("line", (line) => {
      const ready = options.parseReady(line);
      if (ready !== undefined) {
        clearTimeout(timer);
        resolve({ child, ready, ended });
      }
    });
    ended.then((code) => fail(`exited with code ${code}`));
  });
}
