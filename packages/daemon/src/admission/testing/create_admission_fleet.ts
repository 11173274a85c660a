import { createResultError, fleetLimitsSchema, upstreamSchema } from "@crocussail/protocol";
import type { UpstreamSettings } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import type { LoadRecord } from "../../adapters/load_record_schema.ts";
import { createManualClock } from "../../common/create_manual_clock.ts";
import type { ManualClock } from "../../common/create_manual_clock.ts";
import { createSeededRandom } from "../../common/create_seeded_random.ts";
import type { Notice } from "../../membership/mod.ts";
import type { PeerHandler, PeerTransport } from "../../peers/mod.ts";
import type { SettingsView } from "../../settings/mod.ts";
import type { Admission, AdmissionRequest } from "../admission.ts";
import { createAdmission } from "../create_admission.ts";
import type { AdmissionOptions } from "../create_admission.ts";

/** Admission of several hosts on one manual clock, whose network connections can be cut. */
export interface AdmissionFleet {
  readonly clock: ManualClock;
  readonly hosts: ReadonlyMap<string, Admission>;
  /** Load reports of the engines by upstream; undefined means no response. */
  readonly reports: Map<string, LoadRecord | undefined>;
  /** Hosts that neither send nor receive messages. */
  readonly isolated: Set<string>;
  /** Hosts that each host believes live; all by default. */
  readonly views: Map<string, readonly string[]>;
  /** Advances the clock and delivers messages. */
  advance(ms: number): Promise<void>;
  makeRequest(id: string, changes?: Partial<AdmissionRequest>): AdmissionRequest;
}

const IDLE: LoadRecord = {
  running: 0,
  waiting: 0,
  used_tokens: 0,
  capacity_tokens: 1_000,
  preemptions: 0,
  leaving: false,
};
const STEP_MS = 50;
const PROMPT_TOKENS = 400;
const DEADLINE_MS = 600_000;

/** Starts a fleet of the named hosts with engines `plan-1`, `plan-2` and so on. */
export async function createAdmissionFleet(
  options: { readonly hosts: readonly string[]; readonly engines: number },
): Promise<AdmissionFleet> {
  const clock = createManualClock();
  const reports = new Map<string, LoadRecord | undefined>();
  const upstreams = new Map<string, UpstreamSettings>();
  for (let index = 1; index <= options.engines; index++) {
    const name = `plan-${index}`;
    const published = {
      kind: "engine",
      url: `http://127.0.0.1:${index}`,
      dataCentre: "suva",
      models: "plan-70b",
    };
    upstreams.set(name, upstreamSchema.parse(published));
    reports.set(name, IDLE);
  }
  const isolated = new Set<string>();
  const views = new Map<string, readonly string[]>();
  const handlers = new Map<string, PeerHandler>();
  const listeners = new Map<string, (notice: Notice) => void>();
  const settings = {
    getUpstreams: () => upstreams,
    getHosts: () => new Map(options.hosts.map((host) => [host, { dataCentre: "suva" }])),
    getFleetLimits: () => fleetLimitsSchema.parse({}),
    getTeam: () => undefined,
    subscribe: () => () => {},
  } as unknown as SettingsView;

  const createPeers = (self: string): PeerTransport => {
    const isCut = (host: string) => host !== self && (isolated.has(host) || isolated.has(self));
    const deliver = async (host: string, message: unknown) => {
      await Promise.resolve();
      return handlers.get(host)?.(self, structuredClone(message));
    };
    return {
      sendMessage: (host, _channel, message) => {
        if (!isCut(host)) {
          deliver(host, message).catch(() => {});
        }
      },
      requestReply: (host, _channel, message) => {
        const failure = Left(createResultError("peerUnreachable", `${host} is isolated`));
        const answer = isCut(host) ? Promise.reject(new Error(host)) : deliver(host, message);
        return answer.then(Right, () => failure);
      },
      registerHandler: (_channel, handler) => {
        handlers.set(self, handler);
      },
    };
  };

  const ignore = () => {};
  const hosts = new Map(options.hosts.map((self, index) => {
    const context = {
      config: { host: { name: self } },
      clock,
      incarnation: `incarnation-${index}`,
      journal: { recordDecision: ignore, countRequests: () => 0, listEntries: () => [] },
      logger: { writeEvent: ignore },
      metrics: { increment: ignore, gauge: ignore, distribution: ignore },
      peers: createPeers(self),
      random: createSeededRandom(index + 1),
    } as unknown as AdmissionOptions["context"];
    const admission = createAdmission({
      context,
      settings,
      membership: {
        listLiveHosts: () => views.get(self) ?? options.hosts,
        isViewFresh: () => true,
        publishNotice: (notice) =>
          listeners.forEach((listener, host) => {
            if (host === self || !isolated.has(host)) {
              listener({ ...notice, origin: self });
            }
          }),
        subscribeNotices: (_topic, listener) => {
          listeners.set(self, listener);
        },
      },
      load: {
        readLoad: (url) => {
          const name = [...upstreams].find(([, upstream]) => upstream.url === url)?.[0] ?? "";
          const report = reports.get(name);
          const failure = Left(createResultError("upstreamLost", `${name} did not respond`));
          return Promise.resolve(report === undefined ? failure : Right(report));
        },
        readCacheEvents: () => Promise.resolve(Right([])),
      },
    });
    return [self, admission];
  }));

  const settle = async () => {
    for (let turn = 0; turn < 4; turn++) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  };
  const advance = async (ms: number) => {
    await settle();
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      clock.advance(Math.min(STEP_MS, ms - passed));
      await settle();
    }
  };
  hosts.forEach((admission) => admission.start());
  await advance(STEP_MS);

  return {
    clock,
    hosts,
    reports,
    isolated,
    views,
    advance,
    makeRequest: (id, changes = {}) => ({
      requestId: id,
      team: "planners",
      kind: "plan",
      model: "plan-70b",
      promptTokens: PROMPT_TOKENS,
      maxTokens: 100,
      deadlineMs: clock.readMonotonicMs() + DEADLINE_MS,
      excluded: new Set(),
      ...changes,
    }),
  };
}
