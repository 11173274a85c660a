import type { Clock, RandomSource, Timer } from "@crocussail/protocol";
import { PERMIT_LIMITS } from "./constants.ts";
import type { UpstreamIncarnation } from "./create_limit_table.ts";
import type { PermitAnswer, PermitOwner } from "./create_permit_owner.ts";
import type { PermitRequest } from "./permit_request.ts";

/** How a request for a permit ended. */
export type PermitResult =
  | { readonly type: "granted" }
  | {
    readonly type: "refused";
    /** Time until the first permit for which no request waits yet, in milliseconds. */
    readonly freeInMs: number;
    /** Time after which the caller may return, in milliseconds. */
    readonly retryAfterMs: number;
  };

/** A request for a permit that has not ended. */
export interface PendingPermit {
  /** Gives up its place; it ends as refused unless it has ended. */
  cancel(): void;
}

/** Options of {@link createPermitClient}. */
export interface PermitClientOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly localHost: string;
  readonly incarnation: string;
  readonly owner: Pick<PermitOwner, "requestPermit" | "cancelPermit">;
  readonly findOwner: (upstreamId: string) => string;
  /** Whether a request to the upstream needs a permit, which may end while one is requested. */
  readonly hasLimit: (upstream: UpstreamIncarnation) => boolean;
  readonly sendRequest: (
    host: string,
    upstream: UpstreamIncarnation,
    request: PermitRequest,
  ) => void;
  readonly sendCancel: (host: string, upstreamId: string, key: string) => void;
}

/** Requests permits of the hosts that own the limits. */
export interface PermitClient {
  /** Requests a permit; `handleResult` is called once, possibly at once. */
  requestPermit(
    upstream: UpstreamIncarnation,
    request: Omit<PermitRequest, "key">,
    handleResult: (result: PermitResult) => void,
  ): PendingPermit;
  /** Handles an answer that another host sent. */
  acceptAnswer(answer: PermitAnswer): void;
  stop(): void;
}

interface Pending {
  readonly accept: (answer: PermitAnswer) => void;
  readonly cancel: () => void;
}

const KEY_INCARNATION_LENGTH = 8;

/**
 * Creates the requesting side. A request is repeated until its owner answers; its place in the
 * owner's queue is renewed while it waits, and requested of the new owner when the owner changes.
 */
export function createPermitClient(options: PermitClientOptions): PermitClient {
  const { clock, localHost } = options;
  const pending = new Map<string, Pending>();
  /** Monotonic time until which an owner that has not answered is requested nothing. */
  const silentUntilMs = new Map<string, number>();
  let count = 0;

  const createSilentRefusal = (freeInMs: number): PermitResult => ({
    type: "refused",
    freeInMs,
    retryAfterMs: Math.ceil(PERMIT_LIMITS.silentReturnMs * (1 + options.random.nextFloat())),
  });

  const requestPermit: PermitClient["requestPermit"] = (upstream, request, handleResult) => {
    const startMs = clock.readMonotonicMs();
    const endMs = startMs +
      Math.max(request.waitMs, request.patientMs, PERMIT_LIMITS.answerTimeoutMs);
    const prefix = options.incarnation.slice(0, KEY_INCARNATION_LENGTH);
    const key = `${prefix}-${++count}`;
    let timer: Timer | undefined;
    let owner = "";
    let requestedAtMs = startMs;
    let isAnswered = false;
    let isRedirected = false;

    const end = () => {
      timer?.cancel();
      pending.delete(key);
    };
    const withdraw = () => {
      end();
      owner === localHost
        ? options.owner.cancelPermit(upstream.id, key)
        : options.sendCancel(owner, upstream.id, key);
    };
    const giveUp = () => {
      withdraw();
      handleResult(createSilentRefusal(PERMIT_LIMITS.silentOwnerMs));
    };
    const accept = (answer: PermitAnswer) => {
      switch (answer.type) {
        case "grant":
          end();
          handleResult({ type: "granted" });
          return;
        case "refuse":
          end();
          handleResult({
            type: "refused",
            freeInMs: answer.freeInMs,
            retryAfterMs: answer.retryAfterMs,
          });
          return;
        case "wait":
          isAnswered = true;
          return;
        case "notOwner":
          isAnswered = false;
          // Two hosts that each name the other would otherwise be asked without end.
          if (!isRedirected && answer.owner !== localHost) {
            isRedirected = true;
            sendToOwner(answer.owner);
          }
          return;
      }
    };
    const sendToOwner = (host: string) => {
      owner = host;
      const nowMs = clock.readMonotonicMs();
      const elapsedMs = nowMs - startMs;
      const current = {
        key,
        priority: request.priority,
        waitMs: Math.max(0, request.waitMs - elapsedMs),
        patientMs: Math.max(0, request.patientMs - elapsedMs),
      };
      if (host === localHost) {
        options.owner.requestPermit(upstream, current, accept);
        return;
      }
      options.sendRequest(host, upstream, current);
    };
    const repeat = () => {
      const nowMs = clock.readMonotonicMs();
      if (nowMs >= endMs) {
        giveUp();
        return;
      }
      if (!options.hasLimit(upstream)) {
        withdraw();
        handleResult({ type: "granted" });
        return;
      }
      const current = options.findOwner(upstream.id);
      isRedirected = false;
      if (current !== owner) {
        isAnswered = false;
        requestedAtMs = nowMs;
      } else if (!isAnswered && nowMs - requestedAtMs >= PERMIT_LIMITS.answerTimeoutMs) {
        silentUntilMs.set(owner, nowMs + PERMIT_LIMITS.silentOwnerMs);
        giveUp();
        return;
      }
      sendToOwner(current);
      schedule();
    };
    const schedule = () => {
      if (pending.has(key)) {
        const delayMs = isAnswered ? PERMIT_LIMITS.renewMs : PERMIT_LIMITS.repeatMs;
        timer = clock.startTimer(delayMs, repeat);
      }
    };

    const first = options.findOwner(upstream.id);
    const silentMs = (silentUntilMs.get(first) ?? Number.NEGATIVE_INFINITY) - startMs;
    if (silentMs > 0) {
      handleResult(createSilentRefusal(silentMs));
      return { cancel: () => {} };
    }
    const cancel = () => {
      if (pending.has(key)) {
        giveUp();
      }
    };
    pending.set(key, { accept, cancel });
    sendToOwner(first);
    schedule();
    return { cancel };
  };

  return {
    requestPermit,
    acceptAnswer: (answer) => pending.get(answer.key)?.accept(answer),
    stop: () => [...pending.values()].forEach(({ cancel }) => cancel()),
  };
}
