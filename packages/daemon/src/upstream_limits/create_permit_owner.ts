import type { Clock, Timer } from "@crocussail/protocol";
import { refillPermits } from "./refill_permits.ts";
import { computePermitWait } from "./compute_permit_wait.ts";
import { PERMIT_LIMITS } from "./constants.ts";
import type { UpstreamIncarnation } from "./create_limit_table.ts";
import { createPermitState } from "./create_permit_state.ts";
import type { PermitRate } from "./decide_permit_rate.ts";
import { decidePermits } from "./decide_permits.ts";
import type { PermitEffect } from "./permit_effect.ts";
import type { PermitEvent } from "./permit_event.ts";
import type { PermitRequest } from "./permit_request.ts";
import type { PermitState } from "./permit_state.ts";

/** The owner's answer to a request for a permit. */
export type PermitAnswer = PermitEffect | {
  readonly type: "notOwner";
  readonly key: string;
  readonly owner: string;
};

/** Options of {@link createPermitOwner}. */
export interface PermitOwnerOptions {
  readonly clock: Clock;
  /** Returns the rate of the whole fleet for an upstream; undefined if it has no limit. */
  readonly getRate: (upstream: UpstreamIncarnation) => PermitRate | undefined;
  readonly localHost: string;
  /** Finds the host that owns an upstream's limit in this host's view. */
  readonly findOwner: (upstreamId: string) => string;
  /** Share of a limit that this host may grant now. */
  readonly computeShare: () => number;
  /** Called when the ownership of a cold upstream ends, with the permits granted and refused. */
  readonly recordColdEnd: (upstream: UpstreamIncarnation, counts: PermitCounts) => void;
}

/** Answers that an owner has given for one upstream. */
export interface PermitCounts {
  readonly granted: number;
  readonly refused: number;
}

/** Grants the permits of the upstreams whose limit this host owns. */
export interface PermitOwner {
  /** Answers a request; the answer `wait` is followed by another one unless it is cancelled. */
  requestPermit(
    upstream: UpstreamIncarnation,
    request: PermitRequest,
    answer: (answer: PermitAnswer) => void,
  ): void;
  cancelPermit(upstreamId: string, key: string): void;
  /** Starts or ends the ownership of a limit, and applies a changed one to what waits. */
  refreshLimit(upstream: UpstreamIncarnation): void;
  /** Lists the upstreams whose limit this host owns. */
  listOwned(): UpstreamIncarnation[];
  stop(): void;
}

interface OwnedLimit {
  readonly upstream: UpstreamIncarnation;
  readonly permits: PermitState;
  readonly answers: Map<string, (answer: PermitAnswer) => void>;
  timer: Timer | undefined;
  isCold: boolean;
  granted: number;
  refused: number;
}

/** Creates the owner of limits. What it granted before it became one is unknown to it. */
export function createPermitOwner(options: PermitOwnerOptions): PermitOwner {
  const { clock, getRate } = options;
  const settledAtMs = clock.readMonotonicMs() + PERMIT_LIMITS.settleMs;
  const owned = new Map<string, OwnedLimit>();
  /** Final answers by key, in the order in which they were given. */
  const answered = new Map<string, { readonly answer: PermitAnswer; readonly atMs: number }>();

  const computeRate = ({ perSecond, isCold }: PermitRate) => {
    const share = options.computeShare();
    return isCold && share < PERMIT_LIMITS.minColdShare ? 0 : perSecond * share;
  };

  const sendAnswer = (limit: OwnedLimit, answer: PermitAnswer) => {
    const send = limit.answers.get(answer.key);
    if (answer.type !== "wait") {
      limit.answers.delete(answer.key);
      recordAnswer(answer);
      limit.granted += Number(answer.type === "grant");
      limit.refused += Number(answer.type === "refuse");
    }
    send?.(answer);
  };
  const recordAnswer = (answer: PermitAnswer) => {
    const nowMs = clock.readMonotonicMs();
    answered.set(answer.key, { answer, atMs: nowMs });
    for (const [key, { atMs }] of answered) {
      const isKept = nowMs - atMs <= PERMIT_LIMITS.answerMemoryMs &&
        answered.size <= PERMIT_LIMITS.maxAnswers;
      if (isKept) {
        break;
      }
      answered.delete(key);
    }
  };
  /** Ends an ownership; the answer of each waiting request is `createAnswer`'s. */
  const endOwnership = (limit: OwnedLimit, createAnswer: (key: string) => PermitAnswer) => {
    limit.timer?.cancel();
    owned.delete(limit.upstream.id);
    if (limit.isCold && limit.granted + limit.refused > 0) {
      options.recordColdEnd(limit.upstream, limit);
    }
    [...limit.answers.keys()].forEach((key) => sendAnswer(limit, createAnswer(key)));
  };
  const isOwner = (upstreamId: string) => options.findOwner(upstreamId) === options.localHost;

  const handleEvent = (limit: OwnedLimit, event: PermitEvent) => {
    const { upstream, permits } = limit;
    const rate = getRate(upstream);
    if (rate === undefined) {
      endOwnership(limit, (key) => ({ type: "grant", key }));
      return;
    }
    if (!isOwner(upstream.id)) {
      const owner = options.findOwner(upstream.id);
      endOwnership(limit, (key) => ({ type: "notOwner", key, owner }));
      return;
    }
    const nowMs = clock.readMonotonicMs();
    limit.isCold ||= rate.isCold;
    refillPermits(permits, computeRate(rate), nowMs, rate.isCold);
    decidePermits(permits, event, nowMs).forEach((effect) => sendAnswer(limit, effect));
    limit.timer?.cancel();
    limit.timer = undefined;
    if (permits.waiting.size > 0) {
      const delayMs = Math.min(
        PERMIT_LIMITS.ownerCheckMs,
        Math.max(1, computePermitWait(permits, 0, nowMs)),
      );
      limit.timer = clock.startTimer(delayMs, () => handleEvent(limit, { type: "tick" }));
    }
  };

  const openLimit = (upstream: UpstreamIncarnation, rate: PermitRate): OwnedLimit => {
    const known = owned.get(upstream.id);
    // A host that has not seen the latest start yet sends its request to that process as well.
    if (known !== undefined && known.upstream.startedAt >= upstream.startedAt) {
      return known;
    }
    if (known !== undefined) {
      endOwnership(known, (key) =>
        rate.isCold
          ? refuseAtRestart(key) // the request could reach the process that has just started
          : { type: "grant", key }); // the limit ended with its process
    }
    const startMs = Math.max(clock.readMonotonicMs(), settledAtMs);
    const limit: OwnedLimit = {
      upstream,
      permits: createPermitState(computeRate(rate), startMs),
      answers: new Map(),
      timer: undefined,
      isCold: rate.isCold,
      granted: 0,
      refused: 0,
    };
    owned.set(upstream.id, limit);
    return limit;
  };

  return {
    requestPermit: (upstream, { key, priority, waitMs, patientMs }, answer) => {
      const former = answered.get(key)?.answer;
      if (former !== undefined && former.type !== "notOwner") {
        answer(former);
        return;
      }
      const rate = getRate(upstream);
      if (rate === undefined) {
        answer({ type: "grant", key });
        return;
      }
      if (!isOwner(upstream.id)) {
        answer({ type: "notOwner", key, owner: options.findOwner(upstream.id) });
        return;
      }
      const nowMs = clock.readMonotonicMs();
      const limit = openLimit(upstream, rate);
      limit.answers.set(key, answer);
      handleEvent(limit, {
        type: "request",
        request: {
          key,
          priority,
          arrivedAtMs: nowMs,
          waitUntilMs: nowMs + waitMs,
          patientUntilMs: nowMs + patientMs,
          leaseUntilMs: nowMs + PERMIT_LIMITS.placeLeaseMs,
        },
      });
    },
    cancelPermit: (upstreamId, key) => {
      const limit = owned.get(upstreamId);
      if (limit?.answers.delete(key) === true) {
        handleEvent(limit, { type: "cancel", key });
      }
    },
    refreshLimit: (upstream) => {
      const rate = getRate(upstream);
      const limit = rate !== undefined && isOwner(upstream.id)
        ? openLimit(upstream, rate)
        : owned.get(upstream.id);
      if (limit !== undefined) {
        handleEvent(limit, { type: "tick" });
      }
    },
    listOwned: () => [...owned.values()].map(({ upstream }) => upstream),
    stop: () => owned.forEach(({ timer }) => timer?.cancel()),
  };
}

function refuseAtRestart(key: string): PermitAnswer {
  return {
    type: "refuse",
    key,
    freeInMs: PERMIT_LIMITS.silentOwnerMs,
    retryAfterMs: PERMIT_LIMITS.silentReturnMs,
  };
}
