// A small deployment: a store, workers of a model service and of a plain one, and daemons.
import { createDaemons } from "./daemons.js";
import { createLink } from "./link.js";
import { createStore } from "./store.js";

const HEARTBEAT_MS = 1_200;

/** Builds a configuration; `routes` are the routes, `engine` replaces fields of the engine's. */
export function buildConfiguration({ version, routes, engine = {}, keys = ["key-one"] }) {
  return {
    version,
    routes,
    services: [
      {
        name: "planner-llm",
        health_path: "/health",
        max_connections: 232,
        protocol: "h1",
        tls: false,
        engine: {
          ...{ slots: 24, cache_tokens: 34_181, token_bytes: 131_072, link_mbps: 19_000 },
          ...{ moves: true, backups: true, stride: 4, most: 12, pin_ms: 4_000, hold_ms: 2_000 },
          ...{ handle_s: 5, models: [{ name: "m" }] },
          ...engine,
        },
      },
      {
        ...{ name: "depot-desk", health_path: "/health", max_connections: 110 },
        ...{ protocol: "h1", tls: false },
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "huka270", api_keys: keys, priority: 1 }],
  };
}

/** Builds a route of the host `ficu95.example`. */
export function buildRoute(change) {
  return {
    ...{ name: "r-one", host: "ficu95.example", max_attempts: 1, priority: 1, public: false },
    ...change,
  };
}

/**
 * Starts the store, and prepares daemons on `hosts`; those of `linkedHosts` reach the store over a
 * link of their own. Workers write to the store by `publish`.
 */
export async function createDeployment(options) {
  const { root, directory, addCleanup, record, hosts, bounds, linkedHosts = [] } = options;
  const store = await createStore("127.0.40.1");
  addCleanup(() => store.close());
  const links = [];
  for (const _ of linkedHosts) {
    const link = await createLink("127.0.40.2", store.address);
    addCleanup(() => link.close());
    links.push(link);
  }
  const beats = new Map();
  addCleanup(() => beats.forEach(({ timer }) => clearInterval(timer)));
  const fleet = await createDaemons({
    ...{ root, directory, hosts, bounds, storeAddress: store.address },
    links: new Map(linkedHosts.map((host, index) => [host, links[index].address])),
    zones: ["zone-a", "zone-b"],
  });
  addCleanup(fleet.stop);
  const born = Date.now();
  const write = (id) => {
    const beat = beats.get(id);
    beat.sequence++;
    const { timer: _timer, ...fields } = beat;
    return store.put(`servers/${id}`, fields);
  };
  return {
    store,
    links,
    daemons: fleet.daemons,
    configure: (configuration) => {
      record("operator", "writes", { version: configuration.version });
      store.put("op/config", configuration);
    },
    /** Writes the entry of a worker now and with each heartbeat; `change` replaces its fields. */
    publish: ({ id, address }, service, change = {}) => {
      const known = beats.get(id);
      const beat = known ?? {
        ...{ service, address, zone: "zone-a", version: "v1", slots: 24, state: "ready" },
        ...{ cold_remaining_ms: 0, sequence: 0, born },
        timer: setInterval(() => write(id), HEARTBEAT_MS),
      };
      beats.set(id, Object.assign(beat, change));
      write(id);
      record(id, "entry written", { state: beat.state });
    },
    /** Stops the heartbeats of a worker; with `isRemoved` its entry goes too. */
    silence: (id, isRemoved) => {
      clearInterval(beats.get(id)?.timer);
      beats.delete(id);
      if (isRemoved) {
        store.remove(`servers/${id}`);
        record(id, "entry removed");
      }
    },
    start: async () => {
      fleet.daemons.forEach((daemon) => daemon.start());
      await Promise.all(fleet.daemons.map((daemon) => daemon.waitUntilReady()));
    },
  };
}
