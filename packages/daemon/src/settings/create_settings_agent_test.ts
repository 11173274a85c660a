import { expect } from "chai";
import type { PublishedBatch, PublishedValue } from "../adapters/settings_source.ts";
import { SETTINGS_LIMITS } from "./constants.ts";
import { createSettingsAgent } from "./create_settings_agent.ts";
import type { SettingsEffect } from "./settings_effect.ts";
import type { SettingsEvent } from "./settings_event.ts";
import { createSettingsState } from "./settings_state.ts";

const A = { path: "models/a", revision: 1, text: "version = 1\n" };
const B = { path: "models/b", revision: 2, text: "version = 1\n" };

/** Creates an agent with a simulated clock; `neighbours` decide whether it watches. */
const makeAgent = (options: { neighbours?: string[]; peers?: string[] } = {}) => {
  const state = createSettingsState();
  const agent = createSettingsAgent({
    host: "h0",
    dataCentre: "suva",
    nowMs: 0,
    nextFloat: () => 0.5,
    state,
  });
  const { neighbours = [], peers = [] } = options;
  let nowMs = 0;
  const apply = (event: SettingsEvent) => agent.applyEvent(event, nowMs);
  const tick = () => apply({ type: "tick", neighbours, peers });
  /** Ticks for `durationMs` and returns all effects. */
  const run = (durationMs: number, react: (effect: SettingsEffect) => void = () => {}) => {
    const effects: SettingsEffect[] = [];
    for (const untilMs = nowMs + durationMs; nowMs < untilMs;) {
      nowMs += SETTINGS_LIMITS.tickMs;
      const added = tick();
      effects.push(...added);
      added.forEach(react);
    }
    return effects;
  };
  const read = (revision: number, values: readonly PublishedValue[]) => {
    const batch: PublishedBatch = { revision, values };
    return apply({ type: "readAnswered", batch });
  };
  return {
    state,
    apply,
    tick,
    run,
    read,
    digest: () => agent.buildDigest(nowMs),
    isReady: () => agent.isReady(nowMs),
    pause: (ms: number) => {
      nowMs += ms;
    },
  };
};
const listTypes = (effects: readonly SettingsEffect[]) => effects.map((effect) => effect.type);
const listLogs = (effects: readonly SettingsEffect[]) =>
  effects.flatMap((effect) => effect.type === "log" ? [effect.event] : []);
/** Twelve neighbours, with which this host is not selected as a watcher. */
const NEIGHBOURS = Array.from({ length: 12 }, (_, index) => `n${index}`);

describe("settings agent", () => {
  it("reads first, then opens a watch and probes", () => {
    const agent = makeAgent();
    expect(listTypes(agent.tick())).to.deep.equal(["read"]);
    agent.read(2, [A, B]);
    expect(agent.tick()).to.deep.include({ type: "openWatch", after: 2 });
    expect(listTypes(agent.run(SETTINGS_LIMITS.probeMs))).to.include("probe");
  });

  it("reads again when the watch has stalled", () => {
    const agent = makeAgent();
    agent.tick();
    agent.read(2, [A, B]);
    const effects = agent.run(3 * SETTINGS_LIMITS.probeMs, (effect) => {
      if (effect.type === "probe") {
        agent.apply({ type: "probeAnswered", revision: 3 });
      }
    });
    expect(listTypes(effects)).to.include.members(["closeWatch", "read"]);
  });

  it("reopens a watch that was cut off, and reads again after compaction", () => {
    const agent = makeAgent();
    agent.tick();
    agent.read(2, [A, B]);
    agent.tick();
    agent.apply({ type: "watchEnded", detail: "cut", isCompacted: false });
    expect(listTypes(agent.run(2_000)).filter((type) => type !== "probe"))
      .to.deep.equal(["openWatch"]);
    agent.apply({ type: "watchBatch", batch: { revision: 2, values: [] } });
    agent.apply({ type: "watchEnded", detail: "compacted", isCompacted: true });
    expect(listTypes(agent.run(3_000))).to.include("read");
  });

  it("deletes a path that is absent from a current read, but not from a stale one", () => {
    const agent = makeAgent();
    agent.tick();
    agent.read(2, [A, B]);
    agent.read(1, [A]);
    expect(agent.state.getEntry("models/b")?.accepted?.value).to.not.equal(undefined);
    agent.read(5, [A]);
    expect(agent.state.getEntry("models/b")?.accepted?.value).to.equal(undefined);
    expect(agent.state.getEntry("models/b")?.newest.revision).to.equal(5);
  });

  it("logs once that the service stays behind, and logs each value that it ignores", () => {
    const agent = makeAgent();
    agent.tick();
    agent.read(2, [A, B]);
    agent.read(1, [A]);
    agent.run(SETTINGS_LIMITS.behindReportDelayMs);
    expect(listLogs(agent.read(1, [A]))).to.deep.equal(["settingsServiceBehind"]);
    expect(listLogs(agent.read(1, [A]))).to.deep.equal([]);
    const stale = { ...B, revision: 1, text: "version = 9\n" };
    const effects = agent.apply({ type: "watchBatch", batch: { revision: 1, values: [stale] } });
    expect(listLogs(effects)).to.deep.equal(["settingsUpdateIgnored"]);
    expect(agent.state.getEntry("models/b")?.accepted?.update.text).to.equal(B.text);
  });

  it("reads without a watch only when no peer has confirmed the settings for some seconds", () => {
    const agent = makeAgent({ neighbours: NEIGHBOURS, peers: NEIGHBOURS });
    agent.run(2_000);
    agent.read(2, [A, B]);
    const confirmed = agent.run(30_000);
    expect(listTypes(confirmed)).to.include("read").and.to.not.include("openWatch");
    agent.read(2, [A, B]);
    const [hash, revision] = agent.digest();
    const effectsWhileConfirmed: SettingsEffect[] = [];
    for (let second = 0; second < 30; second++) {
      agent.apply({ type: "peerDigest", from: "n1", digest: [hash, revision, 500] });
      effectsWhileConfirmed.push(...agent.run(1_000));
    }
    expect(listTypes(effectsWhileConfirmed)).to.not.include("read");
  });

  it("never exceeds the rate of the token bucket when every call fails immediately", () => {
    const agent = makeAgent();
    const calls: number[] = [];
    for (let step = 0; step < 400; step++) {
      agent.run(SETTINGS_LIMITS.tickMs, (effect) => {
        if (effect.type === "read") {
          calls.push(step * SETTINGS_LIMITS.tickMs);
          agent.apply({ type: "readFailed", detail: "down" });
        }
      });
    }
    const maxCallsPerSecond = Math.max(
      ...calls.map((start) => calls.filter((at) => at >= start && at < start + 1_000).length),
    );
    expect(calls.length).to.be.above(10);
    expect(maxCallsPerSecond).to.be.at.most(
      SETTINGS_LIMITS.callBurst + SETTINGS_LIMITS.callsPerSecond,
    );
  });

  it("is ready only when it has caught up with the queried peers, and again after a pause", () => {
    const agent = makeAgent({ peers: ["n1"] });
    agent.run(1_000);
    agent.read(1, [A]);
    agent.tick();
    expect(agent.isReady()).to.equal(false);
    const newer = createSettingsState();
    [A, B].forEach(newer.applyUpdate);
    const digest = [newer.digest.getHash(), 2, 0] as [string, number, number];
    const effects = agent.apply({ type: "peerDigest", from: "n1", digest });
    expect(listTypes(effects)).to.include("pull");
    expect(agent.isReady()).to.equal(false);
    agent.apply({ type: "pageReceived", from: "n1", page: { digest, updates: [B] } });
    expect(agent.isReady()).to.equal(true);
    agent.pause(SETTINGS_LIMITS.pauseThresholdMs);
    expect(listLogs(agent.tick())).to.include("settingsDistrusted");
    expect(agent.isReady()).to.equal(false);
    agent.apply({ type: "askFailed", from: "n1" });
    expect(agent.isReady()).to.equal(true);
  });

  it("is ready after a timeout when the queried peers do not respond", () => {
    const agent = makeAgent({ peers: ["n1"] });
    agent.run(1_000);
    agent.read(1, [A]);
    agent.run(SETTINGS_LIMITS.startupTimeoutMs - 2_000);
    expect(agent.isReady()).to.equal(false);
    agent.run(2_000);
    expect(agent.isReady()).to.equal(true);
  });
});
