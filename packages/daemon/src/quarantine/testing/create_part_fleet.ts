import { createManualClock } from "../../common/create_manual_clock.ts";
import { createSeededRandom } from "../../common/create_seeded_random.ts";
import { createHostNotices } from "../../fleet_hosts/mod.ts";
import { createPromptPartQuarantine } from "../create_prompt_part_quarantine.ts";
import type { PromptPartQuarantine } from "../create_prompt_part_quarantine.ts";

/** Time in which a host acts on what it has been told (`contact_ms` of the platform). */
const CONTACT_MS = 3_000;
const REPORT_INTERVAL_MS = 250;
const URGENT_DELAY_MS = 8;
const NETWORK_DELAY_MS = 10;
const LOSS_RATE = 0.05;
const START_WRITING_MS = 150;
const START_SPREAD_MS = 400;
const CRASH_AFTER_MS = 100;
const ENGINE_RESTART_MS = 3_000;
const FIRST_STEPS_MS = 1_000;

/** Options of {@link createPartFleet}; rates are requests a second of the whole fleet. */
export interface PartFleetOptions {
  readonly seed: number;
  readonly hosts: number;
  readonly engines: number;
  readonly soundRate: number;
  readonly crashingRate: number;
  /** Number of different first parts. */
  readonly firstParts: number;
  readonly crashingPart: string;
}

interface Request {
  readonly host: number;
  readonly parts: readonly string[];
  readonly isCrashing: boolean;
  readonly isLong: boolean;
  writesAtMs: number | undefined;
  isSound: boolean;
}

interface Engine {
  lifetime: number;
  isUp: boolean;
  requests: Request[];
}

interface Host {
  quarantine: PromptPartQuarantine;
  notices: ReturnType<typeof createHostNotices>;
  /** Time since which it runs and reaches the other hosts. */
  inTouchSinceMs: number;
  isCut: boolean;
  incarnation: number;
}

/**
 * Creates a model of hosts that exchange notices with delay and loss, engines that crash under a
 * part of prompts, and callers of sound and crashing requests.
 */
export function createPartFleet(options: PartFleetOptions) {
  const clock = createManualClock();
  const random = createSeededRandom(options.seed);
  const engines: Engine[] = Array.from({ length: options.engines }, () => ({
    lifetime: 0,
    isUp: true,
    requests: [],
  }));
  const hosts: Host[] = [];
  const crashTimes: number[] = [];
  /** Times of crashing requests sent by hosts that have been in touch for `CONTACT_MS`. */
  const sentInTouch: number[] = [];
  const results = { soundSent: 0, soundRefused: 0 };

  const chooseIndex = (count: number) => Math.floor(random.nextFloat() * count);
  const sendReport = (index: number) => {
    const sender = hosts[index];
    if (sender === undefined || sender.isCut) {
      return;
    }
    const report = {
      host: `h${index}-${sender.incarnation}`,
      notices: sender.notices.listReported(),
    };
    for (const [target, receiver] of hosts.entries()) {
      if (target === index || receiver.isCut || random.nextFloat() < LOSS_RATE) {
        continue;
      }
      const { incarnation } = receiver;
      clock.startTimer(NETWORK_DELAY_MS, () => {
        const current = hosts[target];
        if (current?.incarnation === incarnation && !current.isCut) {
          current.notices.acceptNotices(report, NETWORK_DELAY_MS);
        }
      });
    }
  };
  const startHost = (index: number) => {
    const incarnation = (hosts[index]?.incarnation ?? 0) + 1;
    let isScheduled = false;
    const notices = createHostNotices({
      clock,
      host: `h${index}-${incarnation}`,
      scheduleUrgentReport: () => {
        if (!isScheduled) {
          isScheduled = true;
          clock.startTimer(URGENT_DELAY_MS, () => {
            isScheduled = false;
            if (hosts[index]?.incarnation === incarnation) {
              sendReport(index);
            }
          });
        }
      },
    });
    const quarantine = createPromptPartQuarantine({
      context: {
        clock,
        logger: { writeEvent: () => {} },
        metrics: { increment: () => {}, gauge: () => {}, distribution: () => {} },
        random: createSeededRandom(options.seed * 1_000 + index * 10 + incarnation),
      },
      membership: notices,
    });
    hosts[index] = {
      quarantine,
      notices,
      inTouchSinceMs: clock.readMonotonicMs(),
      isCut: false,
      incarnation,
    };
    renewAll(index);
  };
  /** Lets the other hosts notice that a host has joined. */
  const renewAll = (joined: number) =>
    clock.startTimer(REPORT_INTERVAL_MS, () =>
      hosts.forEach((host, index) => {
        if (index !== joined && !host.isCut) {
          host.notices.renewNotices();
          host.quarantine.renewNotices();
        }
      }));

  const loseRequest = (engine: Engine, index: number, request: Request) => {
    const nowMs = clock.readMonotonicMs();
    if (request.writesAtMs === undefined || nowMs - request.writesAtMs < FIRST_STEPS_MS) {
      hosts[request.host]?.quarantine.recordCrash(`e${index}@${engine.lifetime}`, request.parts);
    }
  };
  const crashEngine = (index: number) => {
    const engine = engines[index] as Engine;
    if (!engine.isUp) {
      return;
    }
    const lost = engine.requests;
    engine.isUp = false;
    engine.requests = [];
    lost.forEach((request) => loseRequest(engine, index, request));
    clock.startTimer(ENGINE_RESTART_MS, () => {
      engine.lifetime++;
      engine.isUp = true;
    });
  };
  const endRequest = (engine: Engine, request: Request) => {
    engine.requests = engine.requests.filter((other) => other !== request);
    hosts[request.host]?.quarantine.recordSound(request.parts);
  };
  const startRequest = (request: Request) => {
    const up = engines.flatMap((engine, index) => engine.isUp ? [index] : []);
    const index = up[chooseIndex(up.length)];
    if (index === undefined) {
      return;
    }
    const engine = engines[index] as Engine;
    const { lifetime } = engine;
    const isRunning = () =>
      engine.isUp && engine.lifetime === lifetime &&
      engine.requests.includes(request);
    engine.requests.push(request);
    clock.startTimer(START_WRITING_MS + random.nextFloat() * START_SPREAD_MS, () => {
      if (!isRunning()) {
        return;
      }
      request.writesAtMs = clock.readMonotonicMs();
      if (request.isCrashing) {
        clock.startTimer(CRASH_AFTER_MS, () => {
          if (isRunning()) {
            crashTimes.push(clock.readMonotonicMs());
            crashEngine(index);
          }
        });
        return;
      }
      clock.startTimer(
        request.isLong ? 4_000 : 200,
        () => isRunning() && endRequest(engine, request),
      );
      clock.startTimer(FIRST_STEPS_MS, () => {
        if (isRunning()) {
          hosts[request.host]?.quarantine.recordSound(request.parts);
        }
      });
    });
  };
  const sendRequest = (isCrashing: boolean) => {
    const host = chooseIndex(options.hosts);
    const first = `first${chooseIndex(options.firstParts)}`;
    const parts = isCrashing ? [first, options.crashingPart] : [first];
    const current = hosts[host] as Host;
    const isRefused = current.quarantine.isQuarantined(parts);
    if (!isCrashing) {
      results.soundSent++;
      results.soundRefused += Number(isRefused);
    }
    if (isRefused) {
      return;
    }
    const nowMs = clock.readMonotonicMs();
    if (isCrashing && !current.isCut && nowMs - current.inTouchSinceMs >= CONTACT_MS) {
      sentInTouch.push(nowMs);
    }
    const isLong = random.nextFloat() < 0.4;
    startRequest({ host, parts, isCrashing, isLong, writesAtMs: undefined, isSound: false });
  };
  const scheduleRequests = (rate: number, isCrashing: boolean) => {
    if (rate > 0) {
      const delayMs = -Math.log(1 - random.nextFloat()) * 1_000 / rate;
      clock.startTimer(delayMs, () => {
        sendRequest(isCrashing);
        scheduleRequests(rate, isCrashing);
      });
    }
  };
  const scheduleReports = (index: number) => {
    clock.startTimer(REPORT_INTERVAL_MS, () => {
      sendReport(index);
      scheduleReports(index);
    });
  };
  for (let index = 0; index < options.hosts; index++) {
    startHost(index);
    scheduleReports(index);
  }
  scheduleRequests(options.soundRate, false);

  return {
    clock,
    engines,
    results,
    chooseIndex,
    crashEngine,
    startCrashingRequests: () => scheduleRequests(options.crashingRate, true),
    restartHost: startHost,
    /** Separates a host from the others, or joins it again. */
    setCut: (index: number, isCut: boolean) => {
      const host = hosts[index] as Host;
      host.isCut = isCut;
      host.inTouchSinceMs = clock.readMonotonicMs();
      if (!isCut) {
        renewAll(index);
      }
    },
    /** Resets all connections of a host to the engines, which go on. */
    resetConnections: (index: number) =>
      engines.forEach((engine, engineIndex) => {
        const lost = engine.requests.filter(({ host }) => host === index);
        engine.requests = engine.requests.filter(({ host }) => host !== index);
        lost.forEach((request) => loseRequest(engine, engineIndex, request));
      }),
    listQuarantined: () => [
      ...new Set(
        hosts.flatMap(({ quarantine }) =>
          (quarantine.dumpState() as { quarantined: string[] }).quarantined
        ),
      ),
    ],
    countCrashes: () => crashTimes.length,
    /** Counts crashing requests sent later than `CONTACT_MS` after the fifth crash. */
    countLate: () => {
      const limitMs = (crashTimes[4] ?? Infinity) + CONTACT_MS;
      return sentInTouch.filter((atMs) => atMs > limitMs).length;
    },
  };
}
