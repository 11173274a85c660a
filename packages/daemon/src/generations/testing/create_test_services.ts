import { createResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import type { AdmissionOutcome } from "../../admission/mod.ts";
import { createManualClock } from "../../common/create_manual_clock.ts";
import type { ManualClock } from "../../common/create_manual_clock.ts";
import { createSeededRandom } from "../../common/create_seeded_random.ts";
import type { DaemonContext } from "../../common/daemon_context.ts";
import type { Notice } from "../../membership/mod.ts";
import type { SettingsView } from "../../settings/mod.ts";
import { createCanceller } from "../create_canceller.ts";
import { createQuarantine } from "../../quarantine/mod.ts";
import { createRunTable } from "../create_run_table.ts";
import { createStreamSlots } from "../create_stream_slots.ts";
import { GENERATION_DEFAULTS } from "../generation_defaults.ts";
import type { GenerationServices } from "../generation_services.ts";
import type { ScriptedEngine } from "./create_scripted_engine.ts";

/** Services on a manual clock, with records of their calls for assertions. */
export interface TestServices {
  readonly services: GenerationServices;
  readonly clock: ManualClock;
  /** Released admission grants, for example `plan-1 finished`. */
  readonly releases: string[];
  /** Announcements to other hosts, for example `resume host-2`. */
  readonly announcements: string[];
}

/** Options of {@link createTestServices}. */
export interface TestServicesOptions {
  readonly engine: ScriptedEngine;
  /** Upstreams granted in this order; admission refuses when all are excluded. */
  readonly upstreams: readonly string[];
  readonly retryTokens?: number;
}

/** Creates services with a fake engine, admission and handover; the decision logic is real. */
export function createTestServices(options: TestServicesOptions): TestServices {
  const { engine, upstreams } = options;
  const clock = createManualClock();
  const releases: string[] = [];
  const announcements: string[] = [];
  const ignore = () => {};
  const context = {
    config: { host: { name: "host-1" }, fleetKeys: ["a-fleet-key-of-a-test"] },
    clock,
    random: createSeededRandom(1),
    logger: { writeEvent: ignore },
    metrics: { increment: ignore, gauge: ignore, distribution: ignore },
    peers: {
      sendMessage: ignore,
      registerHandler: ignore,
      requestReply: () => Promise.resolve(Right({})),
    },
    journal: { recordDecision: ignore, countRequests: () => 0, listEntries: () => [] },
  } as unknown as DaemonContext;
  const canceller = createCanceller({ ...context, engine, limits: GENERATION_DEFAULTS });
  const runs = createRunTable({
    clock,
    limits: GENERATION_DEFAULTS,
    cancelRun: (run) => {
      canceller.cancelGeneration(run.url, run.generation);
    },
  });
  const services: GenerationServices = {
    context,
    limits: GENERATION_DEFAULTS,
    settings: { getFleetLimits: () => ({ retryBudgetRatio: 0.1 }) } as unknown as SettingsView,
    admission: {
      requestGrant: ({ excluded }) => {
        const upstream = upstreams.find((name) => !excluded.has(name));
        if (upstream === undefined) {
          return Promise.resolve(Left(createResultError("noUpstream", "none left")));
        }
        return Promise.resolve(Right({
          upstream,
          url: upstream,
          recordTokens: ignore,
          release: (outcome: AdmissionOutcome) => releases.push(`${upstream} ${outcome}`),
        }));
      },
      start: ignore,
      stop: ignore,
      dumpState: ignore,
    },
    engine,
    canceller,
    runs,
    slots: createStreamSlots(GENERATION_DEFAULTS),
    handover: {
      announceResume: ({ host }) => Promise.resolve(void announcements.push(`resume ${host}`)),
      announceEnd: ({ host }, outcome) =>
        Promise.resolve(void announcements.push(`end ${host} ${outcome}`)),
      announceReturn: (host) => Promise.resolve(void announcements.push(`return ${host}`)),
    },
    quarantine: createQuarantine({ context, membership: createLocalNotices() }),
    retryBudget: { tokens: options.retryTokens ?? GENERATION_DEFAULTS.retryBurst },
  };
  return { services, clock, releases, announcements };
}

/** Creates a membership that delivers notices to this host only. */
function createLocalNotices() {
  const listeners: ((notice: Notice) => void)[] = [];
  return {
    publishNotice: (notice: Omit<Notice, "origin">) =>
      listeners.forEach((listener) => listener({ ...notice, origin: "host-1" })),
    subscribeNotices: (_topic: string, listener: (notice: Notice) => void) => {
      listeners.push(listener);
    },
  };
}
