import type { Clock, Timer } from "@crocussail/protocol";
import type { ClaimantEffect } from "./claimant_effect.ts";
import type { ClaimantEvent } from "./claimant_event.ts";
import { ORDER_LIMITS } from "./constants.ts";
import { createClaimantState } from "./create_claimant_state.ts";
import { decideClaimant } from "./decide_claimant.ts";
import type { KeyPrefix } from "./key_prefix_schema.ts";
import type { OrderAnswer } from "./order_answer.ts";
import type { OrderMessage } from "./order_message_schema.ts";
import type { OrderOutcome } from "./order_outcome_schema.ts";
import type { ReplicaClient } from "./replica_client.ts";

/** Options of {@link runClaimant}. */
export interface ClaimantRunOptions {
  readonly clock: Clock;
  readonly replicaClient: ReplicaClient;
  readonly prefix: KeyPrefix;
  /** Digest of team and idempotency key. */
  readonly key: string;
  /** Digest of method, path and body. */
  readonly digest: string;
  readonly claim: string;
  /** Monotonic time after which nothing is dispatched. */
  readonly deadlineMs: number;
  /** Number of upstreams that may be tried. */
  readonly upstreams: number;
  /** Sends the call to the upstream at this index; undefined when no byte was written. */
  readonly dispatch: (upstream: number) => Promise<OrderOutcome | undefined>;
  /** Called once, when the attempt has ended and sends no more messages. */
  readonly onEnd: () => void;
}

/** Runs one attempt; resolves with the answer, while releases or records may still be sent. */
export function runClaimant(run: ClaimantRunOptions): Promise<OrderAnswer> {
  const { clock, prefix } = run;
  return new Promise((resolve) => {
    let state = createClaimantState({ ...run, replicas: prefix.length });
    let timer: Timer | undefined;
    let claimedAtMs = clock.readMonotonicMs();
    let outstandingRequests = 0;
    let dispatchCount = 0;

    const applyEvent = (event: ClaimantEvent) => {
      if (state.phase === "ended") {
        return;
      }
      const now = clock.readMonotonicMs();
      const isStale = now - claimedAtMs > ORDER_LIMITS.maxClaimAgeMs;
      const decision = decideClaimant(state, event, { isLate: now >= run.deadlineMs, isStale });
      state = decision.state;
      decision.effects.forEach(applyEffect);
      const sendEffects = decision.effects.filter((effect) => effect.type === "send");
      if (sendEffects.length > 0) {
        startRound(now);
      }
      if (state.phase === "ended") {
        timer?.cancel();
        run.onEnd();
      }
    };

    const startRound = (now: number) => {
      timer?.cancel();
      claimedAtMs = state.phase === "claiming" ? now : claimedAtMs;
      const { roundTimeoutMs, recordTimeoutMs } = ORDER_LIMITS;
      const delayMs = state.phase === "claiming" ? roundTimeoutMs : recordTimeoutMs;
      timer = clock.startTimer(delayMs, () => applyEvent({ type: "timeout" }));
    };

    const applyEffect = (effect: ClaimantEffect) => {
      switch (effect.type) {
        case "send":
          sendToReplica(effect);
          break;
        case "dispatch":
          timer?.cancel();
          dispatchCall();
          break;
        case "answer":
          resolve(effect.answer);
          break;
      }
    };

    const dispatchCall = async () => {
      const outcome = await run.dispatch(dispatchCount++);
      applyEvent(outcome === undefined ? { type: "refused" } : { type: "dispatched", outcome });
    };

    const sendToReplica = async (effect: Extract<ClaimantEffect, { type: "send" }>) => {
      const keyReplica = prefix[effect.replica];
      if (keyReplica === undefined) {
        return;
      }
      outstandingRequests++;
      const reply = await run.replicaClient.sendMessage(
        keyReplica,
        createMessage(run, keyReplica, effect),
      );
      outstandingRequests--;
      if (reply !== undefined) {
        applyEvent({ type: "reply", to: effect.message, replica: effect.replica, reply });
      }
      // Every replica has replied or failed, so there is nothing left to wait for.
      if (outstandingRequests === 0 && state.phase === "claiming") {
        applyEvent({ type: "timeout" });
      }
    };

    applyEvent({ type: "start" });
  });
}

function createMessage(
  run: ClaimantRunOptions,
  keyReplica: KeyPrefix[number],
  effect: Extract<ClaimantEffect, { type: "send" }>,
): OrderMessage {
  const { key, claim, digest } = run;
  const { incarnation, epoch } = keyReplica;
  const commonFields = { key, claim, digest, incarnation, epoch };
  return effect.message === "record" && effect.outcome !== undefined
    ? { type: "record", ...commonFields, outcome: effect.outcome }
    : { type: effect.message === "claim" ? "claim" : "release", ...commonFields };
}
