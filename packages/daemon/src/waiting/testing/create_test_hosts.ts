import type { UpstreamCandidate } from "../../balancing/mod.ts";
import { createSeededRandom } from "../../common/create_seeded_random.ts";
import { createFleetWaiting } from "../create_fleet_waiting.ts";
import { createWaitQueue } from "../create_wait_queue.ts";
import type { WaitQueue, WaitQueueOptions } from "../create_wait_queue.ts";
import type { WaitQueueEntry } from "../wait_queue_entry.ts";
import type { WaitingRequest } from "../waiting_request.ts";

/** A host of {@link createTestHosts}. */
export interface TestHost {
  readonly queue: WaitQueue;
  /** How often it has scheduled a report of what waits. */
  readonly countReports: () => number;
}

/** Hosts that share engines whose loads all of them know, and start what fits. */
export interface TestHosts {
  readonly hosts: readonly TestHost[];
  /** Planned tokens by engine. */
  readonly engines: Map<string, number>;
  /** Ids of the started requests with their engines, in order. */
  readonly started: [string, string][];
  /** Delays in milliseconds that refused requests were told, by id. */
  readonly refused: Map<string, number>;
  nowMs: number;
  /** A caller's request arrives at a host. */
  enter(host: number, id: string, change?: Partial<WaitingRequest>): void;
  /** Delivers a host's report to all others. */
  report(from: number): void;
  tick(host: number): void;
}

const LIMITS = { slots: 24, memoryTokens: 26_900 };
const MAX_TOKENS = 24_748;

/** Creates hosts and engines; `freeTokens` is what each engine may still be planned for. */
export function createTestHosts(
  options: {
    readonly hosts: number;
    readonly freeTokens: readonly number[];
    readonly tokensPerMs?: number;
    readonly createQueue?: (options: WaitQueueOptions) => WaitQueue;
  },
): TestHosts {
  const engines = new Map(options.freeTokens.map((free, at) => [`e${at}`, MAX_TOKENS - free]));
  const listRoom = () => ({
    limits: LIMITS,
    candidates: [...engines].map(([id, used]) => makeCandidate(id, used)),
  });
  const members = Array.from({ length: options.hosts }, () => {
    const fleet = createFleetWaiting();
    let reports = 0;
    const queue = (options.createQueue ?? createWaitQueue)({
      random: createSeededRandom(1),
      logger: { writeEvent: () => {} },
      metrics: { increment: () => {}, gauge: () => {} },
      listRoom,
      fleet,
      roomRate: { getTokensPerMs: () => options.tokensPerMs },
      reportChange: () => reports++,
    });
    return { queue, fleet, countReports: () => reports };
  });
  const test: TestHosts = {
    hosts: members,
    engines,
    started: [],
    refused: new Map(),
    nowMs: 0,
    enter: (host, id, change = {}) => {
      const request = { ...makeRequest(test.nowMs), ...change };
      let hasEnded = false;
      const entry: WaitQueueEntry = {
        ...request,
        requestId: id,
        isWaiting: () => !hasEnded,
        tryPlace: ({ candidates }) => {
          const fitting = candidates.find(({ load }) =>
            load.inFlight < LIMITS.slots && load.memoryTokens + request.memoryTokens <= MAX_TOKENS
          );
          if (fitting === undefined) {
            return false;
          }
          hasEnded = true;
          const engine = fitting.upstream.record.id;
          engines.set(engine, (engines.get(engine) ?? 0) + request.memoryTokens);
          test.started.push([id, engine]);
          return true;
        },
        expire: () => {
          hasEnded = true;
        },
        refuse: (retryAfterMs) => {
          hasEnded = true;
          test.refused.set(id, retryAfterMs);
        },
      };
      const queue = members[host]?.queue;
      const isPlaced = queue?.isContested("llm", test.nowMs) === true
        ? queue.placeNew(entry, test.nowMs)
        : entry.tryPlace({ candidates: listRoom().candidates, isLate: false });
      if (!isPlaced) {
        queue?.add(entry);
      }
    },
    report: (from) => {
      const waiting = members[from]?.queue.listReported(test.nowMs) ?? [];
      members.forEach(({ fleet }, index) =>
        index !== from && fleet.acceptReport({ host: `h${from}`, waiting }, test.nowMs)
      );
    },
    tick: (host) => members[host]?.queue.expireAndPlaceNext(test.nowMs),
  };
  return test;
}

function makeRequest(nowMs: number): WaitingRequest {
  return {
    service: "llm",
    priority: 0,
    account: "a",
    kind: "short",
    arrivedAtMs: nowMs,
    targetAtMs: nowMs + 4_000,
    expiresAtMs: nowMs + 10_000,
    promptTokens: 1_500,
    memoryTokens: 1_500,
  };
}

function makeCandidate(id: string, memoryTokens: number): UpstreamCandidate {
  const record = {
    ...{ id, service: "llm", address: "10.0.0.1:1", dataCentre: "a", slots: 24 },
    ...{ isLeaving: false, slowForMs: 0, startedAt: 1, sequence: 0 },
  };
  return {
    upstream: { record, status: "ready", sinceMs: 0, isAbsent: false, slowUntilMs: 0 },
    load: { inFlight: 1, memoryTokens, prefillingTokens: 0 },
    conduct: { tokensPerMs: 14, tokenMs: 7, failureShare: 0 },
  };
}
