import type { RandomSource } from "@crocussail/protocol";
import type { UpstreamCandidate } from "../upstream_candidate.ts";
import type { UpstreamLoad } from "../upstream_load.ts";

/** A choice of one host among upstreams as it knows them. */
export interface HostChoice {
  readonly candidates: readonly UpstreamCandidate[];
  /** Requests of this host by upstream id. */
  readonly localLoads: ReadonlyMap<string, UpstreamLoad>;
  readonly host: number;
  readonly hosts: number;
  readonly random: RandomSource;
}

/** A load on upstreams that hosts choose independently of each other. */
export interface ChoiceLoad {
  readonly hosts: number;
  readonly upstreams: number;
  readonly slots: number;
  readonly perSecond: number;
  /** Mean duration; durations lie evenly between half of it and one and a half times it. */
  readonly durationMs: number;
  /** Interval at which all hosts learn the loads of all others. */
  readonly reportIntervalMs: number;
  readonly seconds: number;
  readonly random: RandomSource;
  /** Share of reports that are lost. */
  readonly lossRate?: number;
  /** Time at which half of the hosts are gone with their requests. */
  readonly halfGoneAtMs?: number;
  /** Time at which the last upstream joins, empty. */
  readonly joinAtMs?: number;
  /** Factor on the durations at the first upstream. */
  readonly firstSlowdown?: number;
  readonly choose: (choice: HostChoice) => UpstreamCandidate | undefined;
}

/** Loads at one moment. */
export interface ChoiceSample {
  readonly atMs: number;
  /** Requests by upstream. */
  readonly counts: readonly number[];
  /** Arrivals up to now for which no upstream was chosen. */
  readonly refused: number;
}

interface Running {
  readonly host: number;
  readonly upstream: number;
  readonly prefilledMs: number;
  readonly endMs: number;
}

interface Counts {
  readonly inFlight: number[];
  readonly prefilling: number[];
}

const STEP_MS = 5;
const PREFILL_MS = 20;
const PROMPT_TOKENS = 1_000;
const TOKEN_MS = 7;

/**
 * Runs requests that arrive at random hosts, which choose upstreams by their own exact counts and
 * by reports of the others, all from one moment. Returns the loads after each step.
 */
export function runChoices(load: ChoiceLoad): ChoiceSample[] {
  const { random } = load;
  const createCounts = (): Counts => ({
    inFlight: Array<number>(load.upstreams).fill(0),
    prefilling: Array<number>(load.upstreams).fill(0),
  });
  const countRunning = (nowMs: number): Counts[] => {
    const counts = Array.from({ length: load.hosts }, createCounts);
    for (const { host, upstream, prefilledMs } of running) {
      addCount(counts[host], upstream, nowMs < prefilledMs);
    }
    return counts;
  };
  let running: Running[] = [];
  let reported = Array.from({ length: load.hosts }, createCounts);
  const samples: ChoiceSample[] = [];
  let refused = 0;
  let due = 0;
  for (let nowMs = 0; nowMs < load.seconds * 1_000; nowMs += STEP_MS) {
    const isHalf = nowMs >= (load.halfGoneAtMs ?? Number.POSITIVE_INFINITY);
    const hosts = isHalf ? Math.ceil(load.hosts / 2) : load.hosts;
    running = running.filter(({ endMs, host }) => endMs > nowMs && host < hosts);
    const upstreams = load.upstreams - Number(nowMs < (load.joinAtMs ?? 0));
    const own = countRunning(nowMs);
    if (nowMs % load.reportIntervalMs === 0) {
      reported = reported.map((last, host) =>
        random.nextFloat() < (load.lossRate ?? 0) ? last : copyCounts(own[host])
      );
    }
    const total = createCounts();
    for (const counts of reported.slice(0, hosts)) {
      for (let upstream = 0; upstream < upstreams; upstream++) {
        total.inFlight[upstream] = getCount(total.inFlight, upstream) +
          getCount(counts.inFlight, upstream);
        total.prefilling[upstream] = getCount(total.prefilling, upstream) +
          getCount(counts.prefilling, upstream);
      }
    }
    due += load.perSecond * STEP_MS / 1_000;
    for (; due >= 1; due--) {
      const host = random.nextInteger(hosts);
      const local = own[host] ?? createCounts();
      const known = reported[host] ?? createCounts();
      const see = (field: keyof Counts, upstream: number) =>
        getCount(total[field], upstream) - getCount(known[field], upstream) +
        getCount(local[field], upstream);
      const candidates = Array.from(
        { length: upstreams },
        (_, upstream) =>
          describeUpstream(
            upstream,
            load.slots,
            see("inFlight", upstream),
            see("prefilling", upstream),
          ),
      );
      const localLoads = new Map(
        candidates.map(({ upstream: { record } }, upstream) => [record.id, {
          inFlight: getCount(local.inFlight, upstream),
          memoryTokens: 0,
          prefillingTokens: 0,
        }]),
      );
      const chosen = load.choose({ candidates, localLoads, host, hosts, random });
      if (chosen === undefined) {
        refused++;
        continue;
      }
      const upstream = candidates.indexOf(chosen);
      const slowdown = upstream === 0 ? load.firstSlowdown ?? 1 : 1;
      const durationMs = load.durationMs * (0.5 + random.nextFloat()) * slowdown;
      running.push({ host, upstream, prefilledMs: nowMs + PREFILL_MS, endMs: nowMs + durationMs });
      addCount(local, upstream, true);
    }
    const counts = Array<number>(upstreams).fill(0);
    running.forEach(({ upstream }) => counts[upstream] = getCount(counts, upstream) + 1);
    samples.push({ atMs: nowMs, counts, refused });
  }
  return samples;
}

function getCount(counts: readonly number[], index: number): number {
  return counts[index] ?? 0;
}

function addCount(counts: Counts | undefined, upstream: number, isPrefilling: boolean): void {
  if (counts !== undefined) {
    counts.inFlight[upstream] = getCount(counts.inFlight, upstream) + 1;
    counts.prefilling[upstream] = getCount(counts.prefilling, upstream) + Number(isPrefilling);
  }
}

function copyCounts(counts: Counts | undefined): Counts {
  return { inFlight: [...counts?.inFlight ?? []], prefilling: [...counts?.prefilling ?? []] };
}

function describeUpstream(
  upstream: number,
  slots: number,
  inFlight: number,
  prefilling: number,
): UpstreamCandidate {
  return {
    upstream: {
      record: {
        id: `u${upstream}`,
        service: "llm",
        address: "10.0.0.1:80",
        dataCentre: "a",
        slots,
        isLeaving: false,
        slowForMs: 0,
        sequence: 0,
        startedAt: 1,
      },
      status: "ready",
      sinceMs: 0,
      isAbsent: false,
      slowUntilMs: 0,
      coldUntilMs: 0,
      startSeenMs: Number.NEGATIVE_INFINITY,
    },
    load: {
      inFlight,
      memoryTokens: inFlight * PROMPT_TOKENS,
      prefillingTokens: prefilling * PROMPT_TOKENS,
    },
    conduct: { tokensPerMs: PROMPT_TOKENS / PREFILL_MS, tokenMs: TOKEN_MS, failureShare: 0 },
  };
}
