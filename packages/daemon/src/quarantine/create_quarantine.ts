import type { DaemonContext } from "../common/daemon_context.ts";
import type { Membership } from "../membership/mod.ts";
import { addQuarantined } from "./add_quarantined.ts";
import { clearSuspect } from "./clear_suspect.ts";
import { decideQuarantine } from "./decide_quarantine.ts";
import { QUARANTINE_DEFAULTS } from "./quarantine_defaults.ts";
import type { QuarantineSettings } from "./quarantine_defaults.ts";
import { quarantineNoticeSchema } from "./quarantine_notice_schema.ts";
import type { QuarantineNotice } from "./quarantine_notice_schema.ts";
import { recordCrash } from "./quarantine_state.ts";
import type { CrashSuspect, QuarantineState } from "./quarantine_state.ts";

/** Options of {@link createQuarantine}; the limits replace defaults. */
export interface QuarantineOptions {
  readonly context: Pick<DaemonContext, "clock" | "logger" | "random">;
  readonly membership: Pick<Membership, "publishNotice" | "subscribeNotices">;
  readonly limits?: Partial<QuarantineSettings>;
}

/** Finds requests that crash upstreams, together with the other daemons. */
export interface Quarantine {
  isQuarantined(fingerprint: string): boolean;
  /**
   * Reports that an upstream died while a request ran on it. A request with evidence from another
   * upstream waits here until all reports of this crash are in, so that it is judged before it
   * runs again.
   */
  noteDeath(upstream: string, suspect: CrashSuspect): Promise<void>;
  /** Reports how a request ended whose upstream lived: with its whole answer or not. */
  noteEnd(fingerprint: string, isWhole: boolean): void;
  dumpState(): unknown;
}

/** Reports of one crash of this daemon; bounded by its streams. */
interface CollectedCrash {
  suspects: CrashSuspect[];
  /** Functions that let waiting requests go on. */
  readonly waiting: (() => void)[];
}

const TOPIC = "generations.quarantine";
const NOTICE_KEY_BYTES = 8;

/** Creates the quarantine. */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  const { membership } = options;
  const { clock, logger, random } = options.context;
  const limits = { ...QUARANTINE_DEFAULTS, ...options.limits };
  const state: QuarantineState = { crashes: [], quarantined: new Map() };
  const collected = new Map<string, CollectedCrash>();

  const publish = (payload: QuarantineNotice, key: string, ttlMs: number) =>
    membership.publishNotice({ topic: TOPIC, key, payload, ttlMs });
  const publishCrash = (upstream: string) => {
    const crash = collected.get(upstream);
    const suspects = [...(crash?.suspects ?? [])]
      .sort((left, right) => left.tokens - right.tokens)
      .slice(0, limits.maxSuspects);
    collected.delete(upstream);
    logger.writeEvent("upstreamCrashed", { upstream, suspects: suspects.length });
    const key = `crashed:${random.nextHex(NOTICE_KEY_BYTES)}`;
    publish({ type: "crashed", upstream, suspects }, key, limits.evidenceMs);
    crash?.waiting.forEach((settle) => settle());
  };
  const hasOtherEvidence = (upstream: string, fingerprint: string) =>
    state.crashes.some((crash) => crash.upstream !== upstream && crash.suspects.has(fingerprint)) ||
    [...collected].some(([other, { suspects }]) =>
      other !== upstream && suspects.some((suspect) => suspect.fingerprint === fingerprint)
    );
  const judgeSuspects = () => {
    const suspects = new Set(state.crashes.flatMap((crash) => [...crash.suspects.keys()]));
    for (const fingerprint of suspects) {
      const verdict = decideQuarantine(fingerprint, state.crashes, limits);
      if (verdict.type === "quarantine" && !isQuarantined(fingerprint)) {
        logger.writeEvent("requestQuarantined", { fingerprint, reason: verdict.reason });
        const key = `quarantined:${random.nextHex(NOTICE_KEY_BYTES)}`;
        publish({ type: "quarantined", fingerprint }, key, limits.quarantineMs);
      }
    }
  };
  const isQuarantined = (fingerprint: string) =>
    (state.quarantined.get(fingerprint) ?? -Infinity) > clock.readMonotonicMs();

  membership.subscribeNotices(TOPIC, ({ payload, ttlMs }) => {
    const parsed = quarantineNoticeSchema.safeParse(payload);
    if (!parsed.success) {
      return;
    }
    const notice = parsed.data;
    const nowMs = clock.readMonotonicMs();
    if (notice.type === "crashed") {
      recordCrash(state, notice, nowMs, limits);
      judgeSuspects();
    } else if (notice.type === "quarantined") {
      const lifetimeMs = Math.min(ttlMs, limits.quarantineMs);
      addQuarantined(state, notice.fingerprint, nowMs + lifetimeMs, limits);
    } else {
      clearSuspect(state, notice.fingerprint);
      // A good run right after a crash clears before the crash has gone round.
      for (const crash of collected.values()) {
        crash.suspects = crash.suspects.filter(({ fingerprint }) =>
          fingerprint !== notice.fingerprint
        );
      }
      judgeSuspects();
    }
  });

  return {
    isQuarantined,
    noteDeath: (upstream, suspect) => {
      const crash = collected.get(upstream) ?? { suspects: [], waiting: [] };
      if (!collected.has(upstream)) {
        collected.set(upstream, crash);
        clock.startTimer(limits.settleMs, () => publishCrash(upstream));
      }
      crash.suspects.push(suspect);
      return hasOtherEvidence(upstream, suspect.fingerprint)
        ? new Promise((resolve) => crash.waiting.push(resolve))
        : Promise.resolve();
    },
    noteEnd: (fingerprint, isWhole) => {
      const isSuspect = state.crashes.some((crash) => crash.suspects.has(fingerprint)) ||
        [...collected.values()].some(({ suspects }) =>
          suspects.some((suspect) => suspect.fingerprint === fingerprint)
        );
      if (isWhole && isSuspect) {
        const key = `cleared:${random.nextHex(NOTICE_KEY_BYTES)}`;
        publish({ type: "cleared", fingerprint }, key, limits.crashWindowMs);
      }
    },
    dumpState: () => ({
      crashes: state.crashes.map(({ upstream, suspects }) => ({
        upstream,
        suspects: suspects.size,
      })),
      quarantined: [...state.quarantined.keys()].filter(isQuarantined),
    }),
  };
}
