import { createResultError } from "@crocussail/protocol";
import { expect } from "chai";
import { Left, Right } from "purify-ts";
import type { GatewayConfig } from "./gateway_config_schema.ts";
import { applyReload } from "./apply_reload.ts";

const START_CONFIG: GatewayConfig = {
  host: {
    ...{ name: "h", dataCentre: "a", address: "10.0.0.1", size: 1, speed: 1 },
    ...{ memoryMb: 200, fileDescriptors: 4_096 },
  },
  listen: {
    callers: "10.0.0.1:1",
    readiness: "10.0.0.1:2",
    directory: "10.0.0.1:3",
    peerPort: 4,
    metricsPort: 5,
  },
  peers: { seeds: ["10.0.0.2:1"] },
  fleet: { key: "0".repeat(32) },
  settingsService: { address: "10.0.0.3:1" },
  upstreams: { drainMs: 2_000 },
  retries: { ratio: 0.2, slack: 40, windowSeconds: 10 },
  shutdown: { graceSeconds: 6 },
  directory: { maxTtlSeconds: 5 },
};

describe("applyReload", () => {
  const reload = (config: Parameters<typeof applyReload>[0]["readConfig"]) => {
    const seeds: (readonly string[])[] = [];
    const events: unknown[] = [];
    applyReload({
      startConfig: START_CONFIG,
      gateway: { setSeeds: (next) => seeds.push(next) },
      logger: { writeEvent: (name, fields) => events.push([name, fields]) },
      readConfig: config,
    });
    return { seeds, events };
  };

  it("applies new seeds at once", () => {
    const peers = { seeds: ["10.0.0.4:1", "10.0.0.5:1"] };
    expect(reload(() => Right({ ...START_CONFIG, peers }))).to.deep.equal({
      seeds: [peers.seeds],
      events: [["gatewayReloaded", { seeds: 2, needsRestart: "none" }]],
    });
  });

  it("logs the names of changed values that need a restart", () => {
    const next = {
      ...START_CONFIG,
      retries: { ...START_CONFIG.retries, slack: 41 },
      shutdown: { graceSeconds: 7 },
    };
    expect(reload(() => Right(next)).events).to.deep.equal([
      ["gatewayReloaded", { seeds: 1, needsRestart: "retries.slack,shutdown.graceSeconds" }],
    ]);
  });

  it("changes nothing when the file is invalid, and logs the reason", () => {
    const detail = "boot.toml:3: host.address: expected an IPv4 address";
    const { seeds, events } = reload(() => Left(createResultError("invalidSettingsFile", detail)));
    expect(seeds).to.deep.equal([]);
    expect(events).to.deep.equal([["gatewayReloadFailed", { detail }]]);
  });
});
