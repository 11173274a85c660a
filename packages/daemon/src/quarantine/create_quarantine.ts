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

/** Options of {@link createQuarantine}; `limits` override the defaults. */
export interface QuarantineOptions {
  readonly context: Pick<DaemonContext, "clock" | "logger" | "random">;
  readonly membership: Pick<Membership, "publishNotice" | "subscribeNotices">;
  readonly limits?: Partial<QuarantineSettings>;
}

/** Detects requests that crash upstreams, together with the other daemons. */
export interface Quarantine {
  isQuarantined(fingerprint: string): boolean;
  /**
   * Reports that an upstream crashed while it executed a request. The promise of a request with
   * evidence from another upstream resolves only when all reports of this crash are collected, so
   * that the decision precedes a retry.
   */
  recordUpstreamCrash(upstream: string, suspect: CrashSuspect): Promise<void>;
  /**
   * Reports the end of a request whose upstream did not crash, with or without a complete response.
   */
  recordRequestEnd(fingerprint: string, isComplete: boolean): void;
  dumpState(): unknown;
}

/** Unpublished reports of one crash; bounded by the number of this daemon's streams. */
interface PendingCrash {
  suspects: CrashSuspect[];
  /** Resolve functions of the requests that wait for the decision. */
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
  const pendingCrashes = new Map<string, PendingCrash>();

  const publish = (payload: QuarantineNotice, key: string, ttlMs: number) =>
    membership.publishNotice({ topic: TOPIC, key, payload, ttlMs });
  const publishCrash = (upstream: string) => {
    const crash = pendingCrashes.get(upstream);
    const suspects = [...(crash?.suspects ?? [])]
      .sort((left, right) => left.tokens - right.tokens)
      .slice(0, limits.maxSuspects);
    pendingCrashes.delete(upstream);
    logger.writeEvent("upstreamCrashed", { upstream, suspects: suspects.length });
    const key = `crashed:${random.nextHex(NOTICE_KEY_BYTES)}`;
    publish({ type: "crashed", upstream, suspects }, key, limits.evidenceMs);
    crash?.waiting.forEach((resume) => resume());
  };
  const hasOtherEvidence = (upstream: string, fingerprint: string) =>
    state.crashes.some((crash) => crash.upstream !== upstream && crash.suspects.has(fingerprint)) ||
    [...pendingCrashes].some(([other, { suspects }]) =>
      other !== upstream && suspects.some((suspect) => suspect.fingerprint === fingerprint)
    );
  const checkSuspects = () => {
    const suspects = new Set(state.crashes.flatMap((crash) => [...crash.suspects.keys()]));
    for (const fingerprint of suspects) {
      const decision = decideQuarantine(fingerprint, state.crashes, limits);
      if (decision.type === "quarantine" && !isQuarantined(fingerprint)) {
        logger.writeEvent("requestQuarantined", { fingerprint, reason: decision.reason });
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
      checkSuspects();
    } else if (notice.type === "quarantined") {
      const lifetimeMs = Math.min(ttlMs, limits.quarantineMs);
      addQuarantined(state, notice.fingerprint, nowMs + lifetimeMs, limits);
    } else {
      clearSuspect(state, notice.fingerprint);
      // A request may complete elsewhere before the report of its crash has been published.
      for (const crash of pendingCrashes.values()) {
        crash.suspects = crash.suspects.filter(({ fingerprint }) =>
          fingerprint !== notice.fingerprint
        );
      }
      checkSuspects();
    }
  });

  return {
    isQuarantined,
    recordUpstreamCrash: (upstream, suspect) => {
      const crash = pendingCrashes.get(upstream) ?? { suspects: [], waiting: [] };
      if (!pendingCrashes.has(upstream)) {
        pendingCrashes.set(upstream, crash);
        clock.startTimer(limits.collectMs, () => publishCrash(upstream));
      }
      crash.suspects.push(suspect);
      return hasOtherEvidence(upstream, suspect.fingerprint)
        ? new Promise((resolve) => crash.waiting.push(resolve))
        : Promise.resolve();
    },
    recordRequestEnd: (fingerprint, isComplete) => {
      const isSuspect = state.crashes.some((crash) => crash.suspects.has(fingerprint)) ||
        [...pendingCrashes.values()].some(({ suspects }) =>
          suspects.some((suspect) => suspect.fingerprint === fingerprint)
        );
      if (isComplete && isSuspect) {
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
