import { spawn } from "node:child_process";
import process from "node:process";
import { PLAYGROUND } from "./constants.ts";

/** Result of a load process. */
export interface LoadProcessResult {
  readonly table: string;
  /** Guarantee violations that the load tool reported. */
  readonly violations: readonly string[];
}

const ARGS = ["--model", "plan-70b", "--kind", "plan", "--concurrency", "24"];
const LIMITS = [
  "--requests",
  "600",
  "--seconds",
  "8",
  "--resume-share",
  "0.2",
  "--stall-ms",
  "1000",
];
const MIX = ["--mix", "chat=6,order=3,read=1"];

/** Runs `crocussail load` in a separate process. */
export async function runLoadProcess(url: string): Promise<LoadProcessResult> {
  const child = spawn(
    process.execPath,
    ["packages/cli/dist/main.js", "load", url, ...ARGS, ...LIMITS, ...MIX],
    {
      env: { ...process.env, CROCUSSAIL_API_KEY: PLAYGROUND.apiKey },
      stdio: ["ignore", "pipe", "pipe"],
    },
  );
  const [table, errors, code] = await Promise.all([
    collectText(child.stdout),
    collectText(child.stderr),
    new Promise<number | null>((resolve) => child.on("exit", resolve)),
  ]);
  const violations = errors.split("\n").filter((line) => line.startsWith("broken: "));
  return { table, violations: code === 0 ? [] : [...violations, `load exited with code ${code}`] };
}

async function collectText(stream: AsyncIterable<unknown>): Promise<string> {
  const chunks: string[] = [];
  for await (const chunk of stream) {
    chunks.push(String(chunk));
  }
  return chunks.join("");
}
