import {
  computeWantedPlacement,
  createSlotOwnerState,
  createSlotVoterState,
  PLACEMENT_LIMITS,
} from "@crocussail/daemon";
import { modelSchema, upstreamSchema } from "@crocussail/protocol";
import type { UpstreamSettings } from "@crocussail/protocol";
import type { BenchSection } from "./bench_section.ts";

const SIZES = [11, 100, 400, 1_100];
const DAEMONS = 400;
const VOTERS = 50;
const MODELS = 3;
const RUNS = 10;
const STEP_MS = 250;
const TIMEOUT_MS = 600_000;

/** Measures the wanted placement at several sizes, and when loads resume after an owner's loss. */
export function measurePlacement(): Promise<BenchSection> {
  const missed: string[] = [];
  const sizeRows = SIZES.map((engines) => measureWanted(engines, missed));
  const waitMs = measureOwnerLoss();
  const ownerRow = {
    measure: "loads by the slot owner resume after its loss, s",
    value: waitMs / 1_000,
  };
  return Promise.resolve({ name: "placement", rows: [...sizeRows, ownerRow], missed });
}

function measureWanted(engines: number, missed: string[]) {
  const upstreams = createEngines(engines);
  const replicas = Math.floor(engines / MODELS);
  const models = new Map(Array.from({ length: MODELS }, (_, index) => [
    `m${index}`,
    modelSchema.parse({ version: "1", replicas: String(replicas) }),
  ]));
  const startMs = performance.now();
  for (let run = 0; run < RUNS; run++) {
    computeWantedPlacement({ models, upstreams });
  }
  const elapsedMs = (performance.now() - startMs) / RUNS;
  const before = computeWantedPlacement({ models, upstreams });
  let maxMoved = 0;
  for (const lost of [...upstreams.keys()].slice(0, RUNS)) {
    const remainingUpstreams = new Map([...upstreams].filter(([name]) => name !== lost));
    const after = computeWantedPlacement({ models, upstreams: remainingUpstreams });
    const moved = [...after].filter(([name, copy]) => before.get(name)?.model !== copy.model);
    maxMoved = Math.max(maxMoved, moved.length);
  }
  if (before.size !== replicas * MODELS) {
    missed.push(`placement of every replica at ${engines} engines`);
  }
  return {
    engines,
    placed: before.size,
    compute_ms: Math.round(elapsedMs * 100) / 100,
    most_copies_moved_by_one_lost_engine: maxMoved,
    engines_observed_per_daemon_and_s: Math.round((engines / DAEMONS) * 100) / 100,
  };
}

function createEngines(count: number): Map<string, UpstreamSettings> {
  return new Map(Array.from({ length: count }, (_, index) => [
    `e${index}`,
    upstreamSchema.parse({ kind: "engine", url: "http://10.1.0.1:8000", dataCentre: "dc" }),
  ]));
}

/** Time from the last renewal of a lost owner to the first grant of its successor. */
function measureOwnerLoss(): number {
  const voters = Array.from(
    { length: VOTERS },
    () => createSlotVoterState(-PLACEMENT_LIMITS.promiseMs),
  );
  voters.forEach((voter) => voter.tryPromise("dc", "lost", 0));
  const owner = createSlotOwnerState();
  let roundAtMs = Number.NEGATIVE_INFINITY;
  for (let nowMs = 0; nowMs < TIMEOUT_MS; nowMs += STEP_MS) {
    if (nowMs - roundAtMs >= PLACEMENT_LIMITS.renewMs) {
      roundAtMs = nowMs;
      const round = owner.startRound(VOTERS, nowMs);
      voters.forEach((voter, index) => {
        if (voter.tryPromise("dc", "next", nowMs)) {
          owner.observeVote(round, `h${index}`);
        }
      });
    }
    if (owner.tryGrant({ engine: "e", requester: "h0", slots: 1, nowMs }) !== undefined) {
      return nowMs;
    }
  }
  return Number.POSITIVE_INFINITY;
}
