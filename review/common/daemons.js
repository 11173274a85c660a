// Starts the project's program as the deploy file does, one process a host, on loopback addresses.
import { spawn } from "node:child_process";
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

const ROOT = new URL("../../", import.meta.url).pathname;
const METRICS_PORT = 9464; // fixed in platform/crocussaild.ini
const NET = 64 + (process.pid % 128);

/** Waits for some milliseconds. */
export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Finds a loopback network whose addresses have the ports of this script free. */
export async function findNetwork() {
  for (let third = 1; third < 250; third++) {
    const prefix = `127.${NET}.${third}`;
    if (
      await isFree(`${prefix}.11`, METRICS_PORT) &&
      await isFree(`${prefix}.1`, 8742)
    ) {
      return prefix;
    }
  }
  throw new Error("no free loopback network");
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Reads the command of the only role of the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

function render(template, fields) {
  return template.replace(/\{\{([\w.]+)\}\}/g, (_, path) => {
    const value = path.split(".").reduce((part, key) => part?.[key], fields);
    return Array.isArray(value) ? value.join(",") : String(value ?? "");
  });
}

/**
 * Starts `count` hosts; the bounds are those of the site lbx-crocus. A process that ends is started
 * again after a short delay, as the platform does, until `stop` is called.
 */
export function startDaemons(
  { network, count, storeAddress, zones, note },
) {
  const folder = mkdtempSync(join(tmpdir(), "crocussail-review-"));
  const template = readFileSync(join(ROOT, "platform/crocussaild.ini"), "utf8");
  const [program, ...words] = readCommand();
  const hosts = Array.from({ length: count }, (_, index) => ({
    name: `front-${index + 1}`,
    ip: `${network}.${11 + index}`,
    zone: zones[index % zones.length],
    ends: [],
    child: undefined,
    mayRestart: true,
  }));
  const seeds = hosts.slice(0, 3).map(({ ip }) => `${ip}:8748`);
  let isStopping = false;
  const start = (host) => {
    const file = join(folder, `${host.name}.ini`);
    writeFileSync(file, render(template, describe(host, seeds, storeAddress)));
    const log = openSync(join(folder, `${host.name}.log`), "a");
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        CROCUSSAIL_BOOT: file,
      },
      stdio: ["ignore", log, log],
    });
    host.child = child;
    child.once("exit", (code, signal) => {
      if (isStopping) {
        return;
      }
      host.ends.push({ atMs: performance.now(), code, signal });
      note(`process of ${host.name} ended: code ${code}, signal ${signal}`);
      if (host.mayRestart) {
        setTimeout(() => isStopping || start(host), 500);
      }
    });
  };
  hosts.forEach(start);
  return {
    hosts,
    readLog: (host) => readFileSync(join(folder, `${host.name}.log`), "utf8"),
    /** Waits until all hosts are ready and name each other in the directory. */
    waitReady: async (timeoutMs = 15_000) => {
      const endMs = performance.now() + timeoutMs;
      for (const host of hosts) {
        while (!(await isReady(host, count))) {
          if (performance.now() > endMs) {
            throw new Error(`${host.name} is not ready`);
          }
          await sleep(100);
        }
      }
    },
    stop: async () => {
      isStopping = true;
      const ended = hosts.map(({ child }) =>
        child.exitCode !== null || child.signalCode !== null
          ? undefined
          : new Promise((resolve) => child.once("exit", resolve))
      );
      hosts.forEach(({ child }) => child.kill("SIGKILL"));
      await Promise.all(ended);
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

async function isReady(host, count) {
  try {
    const ready = await fetch(`http://${host.ip}:8749/readiness`);
    const directory = await fetch(`http://${host.ip}:8746/resolution?name=x&region=r&zone=z`);
    return ready.status === 200 &&
      (await directory.json()).addresses.length === count;
  } catch {
    return false;
  }
}

function describe(host, seeds, storeAddress) {
  return {
    node_name: host.name,
    zone: host.zone,
    ip_address: host.ip,
    seeds,
    internal_ports: [7200, 7215],
    limits: { cpu_share: 0.675, cores: 1 },
    listen: {
      front: `${host.ip}:8740`,
      ready: `${host.ip}:8749`,
      control: `${host.ip}:8748`,
      directory: `${host.ip}:8746`,
    },
    platform: { address: storeAddress },
    bounds: {
      drain_ms: 2000,
      retry_budget_ratio: 0.2,
      budget_slack: 56,
      budget_window_s: 10,
      grace_s: 8,
      ttl_max_s: 5,
    },
  };
}
