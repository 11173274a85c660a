import type { Timer } from "@crocussail/protocol";
import type { DaemonContext } from "../common/daemon_context.ts";
import type { Membership } from "../membership/mod.ts";
import { addQuarantinedPart } from "./add_quarantined_part.ts";
import { computeSuspicion } from "./compute_suspicion.ts";
import { createPromptPartState } from "./create_prompt_part_state.ts";
import { decideQuarantinedParts } from "./decide_quarantined_parts.ts";
import { PROMPT_PART_DEFAULTS } from "./prompt_part_defaults.ts";
import { promptPartNoticeSchema } from "./prompt_part_notice_schema.ts";
import type { PromptPartNotice } from "./prompt_part_notice_schema.ts";
import { recordPartCrash } from "./record_part_crash.ts";
import { recordSoundPart } from "./record_sound_part.ts";
import { selectAnnouncedParts } from "./select_announced_parts.ts";
import { updateLatest } from "./update_latest.ts";

/** Options of {@link createPromptPartQuarantine}. */
export interface PromptPartQuarantineOptions {
  readonly context: Pick<DaemonContext, "clock" | "logger" | "metrics" | "random">;
  readonly membership: Pick<Membership, "publishNotice" | "subscribeNotices">;
}

/**
 * Detects parts of prompts that crash each engine which begins to write an answer on them, together
 * with the other hosts. Parts are named in the order of the prompt, without the last one, which is
 * specific to a request.
 */
export interface PromptPartQuarantine {
  isQuarantined(parts: readonly string[]): boolean;
  /** Whether two crashes point to one of the parts; a request is then not resumed elsewhere. */
  isSuspected(parts: readonly string[]): boolean;
  /** Reports that a request in its first steps lost its upstream. */
  recordCrash(upstream: string, parts: readonly string[]): void;
  /** Reports that a request's answer is complete or well under way. */
  recordSound(parts: readonly string[]): void;
  /** Tells the quarantined parts again, for a host that has joined. */
  renewNotices(): void;
  dumpState(): unknown;
}

const TOPIC = "quarantine.promptParts";
const NOTICE_KEY_BYTES = 8;
const SUSPECTED_CRASHES = 2;

/** Creates the quarantine of prompt parts. */
export function createPromptPartQuarantine(
  options: PromptPartQuarantineOptions,
): PromptPartQuarantine {
  const { membership } = options;
  const { clock, logger, metrics, random } = options.context;
  const limits = PROMPT_PART_DEFAULTS;
  const state = createPromptPartState();
  const createdAtMs = clock.readMonotonicMs();
  const collecting = new Map<string, Map<string, number>>();
  const renewedAtMs = new Map<string, number>();
  let announceTimer: Timer | undefined;
  let decisionTimer: Timer | undefined;

  const publish = (payload: PromptPartNotice, ttlMs: number) => {
    const key = `${payload.type}:${random.nextHex(NOTICE_KEY_BYTES)}`;
    membership.publishNotice({ topic: TOPIC, key, payload, ttlMs });
  };
  const isPartQuarantined = (part: string) =>
    clock.readMonotonicMs() - (state.quarantinedAtMs.get(part) ?? -Infinity) < limits.quarantineMs;
  const listQuarantined = () => [...state.quarantinedAtMs.keys()].filter(isPartQuarantined);
  const publishQuarantined = (part: string) => {
    const ageMs = clock.readMonotonicMs() - (state.quarantinedAtMs.get(part) ?? 0);
    publish({ type: "quarantined", part }, Math.max(1, limits.quarantineMs - ageMs));
  };
  const scheduleDecision = () => {
    decisionTimer ??= clock.startTimer(limits.settleMs, decide);
  };
  const decide = () => {
    decisionTimer = undefined;
    const settledUntilMs = clock.readMonotonicMs() - limits.settleMs;
    const crashes = state.crashes.filter(({ atMs }) => atMs <= settledUntilMs);
    if (crashes.length < state.crashes.length) {
      scheduleDecision();
    }
    for (const part of decideQuarantinedParts({ ...state, crashes }, limits)) {
      if (isPartQuarantined(part)) {
        continue;
      }
      const suspicion = computeSuspicion(part, state.crashes, state.soundAtMs.get(part), limits);
      logger.writeEvent("promptPartQuarantined", { part, crashes: suspicion.crashes });
      addQuarantinedPart(state, part, clock.readMonotonicMs(), limits);
      publishQuarantined(part);
    }
  };
  const announce = () => {
    announceTimer = undefined;
    const nowMs = clock.readMonotonicMs();
    const parts = selectAnnouncedParts(state, limits);
    if (parts.length > 0) {
      publish(
        { type: "sound", parts: parts.map(([part, atMs]) => [part, nowMs - atMs]) },
        limits.evidenceMs,
      );
    }
  };
  const scheduleAnnouncement = () => {
    if (selectAnnouncedParts(state, limits).length > 0) {
      announceTimer ??= clock.startTimer(random.nextFloat() * limits.announceSpreadMs, announce);
    }
  };
  const acceptCrash = (
    upstream: string,
    atMs: number,
    parts: Iterable<readonly [string, number]>,
  ) => {
    recordPartCrash(state, { upstream, atMs, parts }, clock.readMonotonicMs(), limits);
    scheduleAnnouncement();
    scheduleDecision();
  };
  const acceptSound = (part: string, atMs: number) => {
    const wasQuarantined = isPartQuarantined(part);
    recordSoundPart(state, part, atMs, limits);
    if (wasQuarantined && !isPartQuarantined(part)) {
      logger.writeEvent("promptPartCleared", { part });
    }
  };
  const publishCrash = (upstream: string) => {
    const collected = [...collecting.get(upstream) ?? []];
    collecting.delete(upstream);
    const getSoundMs = ([part]: readonly [string, number]) =>
      state.soundAtMs.get(part) ?? -Infinity;
    const parts = collected.sort((left, right) => getSoundMs(left) - getSoundMs(right))
      .slice(0, limits.maxPartsOfCrash);
    publish({ type: "crashed", upstream, parts }, limits.evidenceMs);
  };

  membership.subscribeNotices(TOPIC, ({ payload, ttlMs }) => {
    const parsed = promptPartNoticeSchema.safeParse(payload);
    if (!parsed.success) {
      return;
    }
    const notice = parsed.data;
    const nowMs = clock.readMonotonicMs();
    const publishedAtMs = nowMs - Math.max(0, limits.evidenceMs - ttlMs);
    if (notice.type === "crashed") {
      // A host that has started since then does not know what was executed soundly before.
      if (publishedAtMs >= createdAtMs) {
        acceptCrash(notice.upstream, publishedAtMs, notice.parts);
      }
    } else if (notice.type === "sound") {
      for (const [part, ageMs] of notice.parts) {
        acceptSound(part, publishedAtMs - ageMs);
        updateLatest(state.announcedAtMs, part, publishedAtMs - ageMs, limits.maxSoundParts);
      }
    } else {
      updateLatest(renewedAtMs, notice.part, nowMs, limits.maxQuarantined);
      addQuarantinedPart(state, notice.part, nowMs - (limits.quarantineMs - ttlMs), limits);
    }
    metrics.gauge("quarantine.promptParts", listQuarantined().length);
  });

  return {
    isQuarantined: (parts) => parts.some(isPartQuarantined),
    isSuspected: (parts) =>
      parts.some((part) => {
        const suspicion = computeSuspicion(part, state.crashes, state.soundAtMs.get(part), limits);
        return !suspicion.wasSound && suspicion.crashes >= SUSPECTED_CRASHES;
      }),
    recordCrash: (upstream, parts) => {
      if (parts.length === 0) {
        return;
      }
      const positions = parts.map((part, position) => [part, position] as const);
      const collected = collecting.get(upstream) ?? new Map<string, number>();
      if (!collecting.has(upstream)) {
        collecting.set(upstream, collected);
        clock.startTimer(limits.collectMs, () => publishCrash(upstream));
      }
      positions.forEach(([part, position]) => collected.set(part, position));
      acceptCrash(upstream, clock.readMonotonicMs(), positions);
    },
    recordSound: (parts) => {
      const nowMs = clock.readMonotonicMs();
      parts.forEach((part) => acceptSound(part, nowMs));
      scheduleAnnouncement();
    },
    renewNotices: () => {
      for (const part of listQuarantined()) {
        const scheduledAtMs = clock.readMonotonicMs();
        // The random delay leaves most hosts nothing to tell: they have heard it from another one.
        clock.startTimer(random.nextFloat() * limits.renewSpreadMs, () => {
          const isTold = (renewedAtMs.get(part) ?? -Infinity) > scheduledAtMs;
          if (!isTold && isPartQuarantined(part)) {
            publishQuarantined(part);
          }
        });
      }
    },
    dumpState: () => ({
      crashes: state.crashes.map(({ upstream, parts }) => ({ upstream, parts: parts.size })),
      quarantined: listQuarantined(),
    }),
  };
}
