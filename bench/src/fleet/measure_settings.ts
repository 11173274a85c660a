import { createSettingsState, createSettingsView, selectSettingsPage } from "@crocussail/daemon";
import type { SettingsState } from "@crocussail/daemon";
import { Buffer } from "node:buffer";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { BenchSection } from "./bench_section.ts";
import { createSettingsModel } from "./create_settings_model.ts";
import type { SettingsModel } from "./settings_model.ts";

const SIZES = [8, 50, 100, 200, 400];
const DATA_CENTRES = 8;
const SEED = 11;
const LOSS = 0.01;
const SPREAD_TIMEOUT_MS = 60_000;
/** Targets of this section; {@link BenchSection.missed} names those that are not met. */
const MAX_SPREAD_MS = 5_000;
const MAX_CALLS_PER_SECOND = 2_000;
const MAX_HEAP_MB = 256;
const TEAMS = 1_500;
const ENGINES = 1_100;
const HOSTS = 400;
const LOOKUPS = 100_000;
const MB = 1_048_576;

/** Measures how fast settings spread, and the memory and time that a full tree takes. */
export function measureSettings(): Promise<BenchSection> {
  const missed: string[] = [];
  const spread = SIZES.map((daemons) => measureFleet(daemons, missed));
  const tree = measureTree(missed);
  return Promise.resolve({ name: "settings", rows: [...spread, ...tree], missed });
}

function measureFleet(daemons: number, missed: string[]) {
  const model = createSettingsModel({
    daemons,
    dataCentres: DATA_CENTRES,
    seed: SEED,
    loss: LOSS,
  });
  startAll(model, daemons);
  model.advance(5_000);
  model.resetCalls();
  const before = model.countExchanges();
  const steadyMs = measureChange(model, 1);
  model.advance(10_000);
  const after = model.countExchanges();
  const steadyCalls = model.countPeakCalls();
  model.resetCalls();
  startAll(model, daemons);
  const restartMs = measureChange(model, 2);
  model.advance(5_000);
  const restartCalls = model.countPeakCalls();
  if (Math.max(steadyMs, restartMs) > MAX_SPREAD_MS) {
    missed.push(`a settings change took longer than ${MAX_SPREAD_MS} ms at ${daemons} daemons`);
  }
  if (Math.max(steadyCalls, restartCalls) > MAX_CALLS_PER_SECOND) {
    missed.push(`settings calls exceeded ${MAX_CALLS_PER_SECOND}/s at ${daemons} daemons`);
  }
  return {
    daemons,
    in_force_ms: steadyMs,
    pulls_per_daemon: computeRounded((after.pulls - before.pulls) / daemons),
    offers_per_daemon: computeRounded((after.offers - before.offers) / daemons),
    calls_in_peak_second: steadyCalls,
    in_force_after_restart_of_all_ms: restartMs,
    calls_in_peak_second_of_restart: restartCalls,
  };
}

function startAll(model: SettingsModel, daemons: number): void {
  for (let index = 0; index < daemons; index++) {
    model.stopDaemon(index);
    model.startDaemon(index);
  }
}

function measureChange(model: SettingsModel, version: number): number {
  const path = "models/plan";
  const revision = model.publish(path, `version = ${version}\n`);
  return model.measureSpread(path, revision, SPREAD_TIMEOUT_MS);
}

function measureTree(missed: string[]) {
  const values = createTree();
  const heapBefore = measureHeapBytes();
  const state = createSettingsState();
  const loadMs = measureMs(() =>
    values.forEach(([path, text], index) => state.applyUpdate({ path, text, revision: index + 1 }))
  );
  const view = createSettingsView(state, () => () => {});
  const indexMs = measureMs(() => view.findTeamByKeyHash(""));
  const heapMb = (measureHeapBytes() - heapBefore) / MB;
  const lookupMs = measureMs(() => {
    for (let index = 0; index < LOOKUPS; index++) {
      view.findTeamByKeyHash(createHash(index % TEAMS));
    }
  });
  const changeMs = measureMs(() => applyChange(state, values.length + 1));
  // Request of a peer that has no settings yet.
  const full = { known: 0, buckets: createSettingsState().digest.copyBuckets() };
  const firstPageMs = measureMs(() => selectSettingsPage(state, full));
  if (heapMb > MAX_HEAP_MB) {
    missed.push(`settings tree exceeded ${MAX_HEAP_MB} MB of heap`);
  }
  const bytes = values.reduce((sum, [path, text]) => sum + path.length + text.length, 0);
  return [
    { measure: "paths of the full tree", value: values.length },
    { measure: "text of the full tree, MB", value: computeRounded(bytes / MB) },
    { measure: "parse and merge of the full tree, ms", value: computeRounded(loadMs) },
    { measure: "heap of the full tree, MB", value: computeRounded(heapMb) },
    { measure: "build of the team index, ms", value: computeRounded(indexMs) },
    { measure: "lookup of a key hash, us", value: computeRounded((lookupMs / LOOKUPS) * 1_000) },
    { measure: "merge of one change and its hash, ms", value: computeRounded(changeMs) },
    { measure: "selection of a first page for a peer, ms", value: computeRounded(firstPageMs) },
    { measure: "bytes of one pull request", value: countPullBytes(full.buckets) },
  ];
}

function createTree(): [string, string][] {
  const values: [string, string][] = [];
  for (let index = 0; index < HOSTS; index++) {
    values.push([
      `hosts/h${index}`,
      `address = 10.0.0.1\ncaller_port = 1\npeer_port = 2\ndata_centre = dc${index % 8}\n`,
    ]);
  }
  for (let index = 0; index < ENGINES; index++) {
    values.push([
      `upstreams/e${index}`,
      `kind = engine\nurl = http://10.1.0.1:8000\ndata_centre = dc${index % 8}\n` +
      "models = plan, chat\ncapacity_tokens = 400000\nmax_batch = 64\n",
    ]);
  }
  for (let index = 0; index < TEAMS; index++) {
    values.push(
      [`teams/t${index}/access`, "models = plan, chat\nweight = 2\n"],
      [`teams/t${index}/kinds`, "[plan]\nurgency = 5\n[quick]\nurgency = 1\ndeadline_ms = 5000\n"],
      [`teams/t${index}/services`, "[stock]\ndeadline_ms = 5000\n"],
      [`teams/t${index}/keys`, `[a]\nsha256 = ${createHash(index)}\n`],
    );
  }
  return values;
}

function createHash(index: number): string {
  return index.toString(16).padStart(8, "0").padEnd(64, "0");
}

function applyChange(state: SettingsState, revision: number): void {
  state.applyUpdate({ path: "teams/t0/access", text: "models = plan\n", revision });
  state.digest.getHash();
}

function countPullBytes(buckets: Uint8Array): number {
  return buckets.length + Buffer.byteLength('{"kind":"pull","known":1000000,"buckets":}');
}

/** Heap in use after a garbage collection. */
function measureHeapBytes(): number {
  setFlagsFromString("--expose-gc");
  runInNewContext("gc")();
  return process.memoryUsage().heapUsed;
}

function measureMs(run: () => void): number {
  const startMs = performance.now();
  run();
  return performance.now() - startMs;
}

function computeRounded(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
