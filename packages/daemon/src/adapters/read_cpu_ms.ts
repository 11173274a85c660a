import process from "node:process";

const MICROSECONDS_PER_MS = 1_000;

/** Reads the CPU time of this process since its start, in milliseconds. */
export function readCpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MS;
}
