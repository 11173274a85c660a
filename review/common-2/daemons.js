// Starts daemons with the command of deploy/system.toml and settings rendered from its template.
import { spawn } from "node:child_process";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";

const READY_TIMEOUT_MS = 15_000;

/** Below the ports that the system gives to outgoing connections. */
const FIRST_PORT = 18_000;
const PORTS = 12_000;

/** Whether nothing listens at a port of any of `hosts`. */
async function isFree(hosts, port) {
  const results = await Promise.all(hosts.map((host) =>
    new Promise((resolve) => {
      const server = createServer();
      server.once("error", () => resolve(false));
      server.listen(port, host, () => server.close(() => resolve(true)));
    })
  ));
  return results.every((isUnused) => isUnused);
}

/** Finds `count` ports that are free at all `hosts`. */
async function findFreePorts(hosts, count) {
  const ports = new Set();
  while (ports.size < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (await isFree(hosts, port)) {
      ports.add(port);
    }
  }
  return [...ports];
}

function readDeployValue(root, name) {
  const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
  const [, value] = new RegExp(`^${name} = "(.*)"$`, "m").exec(text) ?? [];
  if (value === undefined) {
    throw new Error(`deploy/system.toml has no ${name}`);
  }
  return value;
}

/** Renders the template of the deploy file from the platform's fields. */
function renderSettings(root, fields) {
  const template = readFileSync(join(root, readDeployValue(root, "template")), "utf8");
  return template.replace(/\{\{([\w.]+)\}\}/g, (_, path) => {
    const value = path.split(".").reduce((part, name) => part?.[name], fields);
    return Array.isArray(value) ? value.join(",") : String(value ?? "");
  });
}

function askReady(address) {
  return new Promise((resolve) => {
    get(`http://${address}/readiness`, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    }).once("error", () => resolve(false));
  });
}

/**
 * Prepares daemons, one for each of `hosts` (loopback addresses), in `zones` by turns, that read the
 * store at `storeAddress`, or over the link that `links` has for a host. `bounds` replace those of the
 * pages' small deployment.
 */
export async function createDaemons(
  { root, directory, hosts, zones, storeAddress, links = new Map(), bounds = {} },
) {
  // Ports are the same on all machines of a deployment.
  const [front, ready, directoryPort, control, peer] = await findFreePorts(hosts, 5);
  const seeds = hosts.slice(0, 3).map((host) => `${host}:${control}`);
  const running = new Set();
  const daemons = hosts.map((host, index) => {
    const name = `front-${index + 1}`;
    const fields = {
      node_name: name,
      zone: zones[index % zones.length],
      ip_address: host,
      internal_ports: [peer, peer],
      seeds,
      listen: {
        front: `${host}:${front}`,
        ready: `${host}:${ready}`,
        control: `${host}:${control}`,
        directory: `${host}:${directoryPort}`,
      },
      limits: { cpu_share: 0.675, cores: 1, memory_mb: 200, file_descriptors: 4_100 },
      bounds: {
        drain_ms: 2_000,
        retry_budget_ratio: 0.2,
        budget_slack: 56,
        budget_window_s: 10,
        grace_s: 8,
        ttl_max_s: 5,
        ...bounds,
      },
      platform: { address: storeAddress },
    };
    const file = join(directory, `${name}.ini`);
    // The address also names the fleet, so that a link takes its place only where it is called.
    const address = `\n[settings_service]\naddress = `;
    const rendered = renderSettings(root, fields);
    writeFileSync(
      file,
      rendered.replace(`${address}${storeAddress}`, `${address}${links.get(host) ?? storeAddress}`),
    );
    let child;
    return {
      name,
      front: fields.listen.front,
      ready: fields.listen.ready,
      start: () => {
        const [program, ...words] = readDeployValue(root, "run").split(" ");
        const log = createWriteStream(join(directory, `${name}.log`), { flags: "a" });
        child = spawn(program === "node" ? process.execPath : program, words, {
          cwd: root,
          env: { PATH: process.env.PATH ?? "", HOME: directory, CROCUSSAIL_BOOT: file },
          stdio: ["ignore", "pipe", "pipe"],
        });
        const started = child;
        running.add(started);
        started.stdout.pipe(log);
        started.stderr.pipe(log);
        started.once("exit", () => running.delete(started));
      },
      kill: (signal) => child.kill(signal),
      hasEnded: () => child.exitCode !== null || child.signalCode !== null,
      waitUntilReady: async () => {
        const endMs = performance.now() + READY_TIMEOUT_MS;
        while (!await askReady(fields.listen.ready)) {
          if (performance.now() > endMs) {
            throw new Error(`${name} is not ready`);
          }
          await wait(100);
        }
      },
    };
  });
  return {
    daemons,
    stop: async () => {
      running.forEach((child) => child.kill("SIGKILL"));
      while (running.size > 0) {
        await wait(20);
      }
    },
  };
}
