import type { UpstreamExchange } from "../adapters/upstream_exchange.ts";
import { observePerformance } from "../balancing/mod.ts";
import type { InFlightRequest } from "../balancing/mod.ts";
import { decideRetry, hasNotExecuted, RETRY_LIMITS } from "../retries/mod.ts";
import type { RetryDecision } from "../retries/mod.ts";
import type { PendingPermit } from "../upstream_limits/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { getServiceBudget } from "./get_service_budget.ts";
import { offerRequest } from "./offer_request.ts";
import { collectAnswer } from "./collect_answer.ts";
import type { CollectedAnswer } from "./collect_answer.ts";
import { choosePlainUpstream } from "./choose_plain_upstream.ts";
import type { PlainChoice } from "./choose_plain_upstream.ts";
import { recordUpstreamLoss } from "./record_upstream_loss.ts";
import { recordReachability } from "./record_reachability.ts";
import { REFUSAL_DETAILS } from "./refusal_details.ts";
import { computeServiceRetryAfter } from "./compute_service_retry_after.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

const BRITTLE_FULL =
  "brittle upstreams, which fall over when they refuse, have no room in its time";

/** Forwards a request of a plain service until its final response; returns how it ended. */
export async function runPlainRequest(
  context: ForwardingContext,
  request: ForwardedRequest,
): Promise<string> {
  const { clock, logger, metrics } = context;
  const { requestId, reply, route } = request;
  const budget = getServiceBudget(context, request.service.name);
  const tried = new Set<string>();
  let exchange: UpstreamExchange | undefined;
  let handover: Pick<UpstreamExchange, "abort"> | undefined;
  let isCounted = request.isCounted;
  let pendingPermit: PendingPermit | undefined;
  let lastAnswer: CollectedAnswer | undefined;
  let executedAttempts = 0;
  let unexecutedAttempts = 0;
  reply.onDisconnect(() => {
    // A non-repeatable request runs to its end: aborting it would not undo it.
    if (route.kind === "repeatable") {
      exchange?.abort();
    }
    handover?.abort();
    pendingPermit?.cancel();
    logger.writeEvent("callerLeft", { request: requestId });
  });
  for (let attempt = 1;; attempt++) {
    const handoverEnd = executedAttempts > 0 ? undefined : await offerRequest(context, request, {
      isCounted,
      receiveExchange: (opened) => {
        handover = opened;
      },
    });
    if (handoverEnd !== undefined) {
      return handoverEnd;
    }
    if (!isCounted) {
      budget.countRequest();
      isCounted = true;
    }
    const placement = await choosePlainUpstream(context, request, {
      tried,
      canHandOver: request.handedOverBy === undefined && executedAttempts === 0,
      receivePending: (pending) => {
        pendingPermit = pending;
      },
    });
    if (reply.hasEnded()) {
      return "callerLeft";
    }
    if (placement.type === "elsewhere") {
      const end = await offerRequest(context, request, {
        isCounted,
        among: placement.hosts,
        receiveExchange: (opened) => {
          handover = opened;
        },
      });
      return end ?? refuseUnplaced(context, request, { type: "none" }, true);
    }
    if (placement.type !== "placed") {
      return lastAnswer?.outcome === "failed"
        ? answerCaller(context, request, "relay", lastAnswer)
        : refuseUnplaced(context, request, placement, executedAttempts === 0);
    }
    const { upstream } = placement;
    tried.add(upstream.record.id);
    if (attempt > 1) {
      budget.countRetry();
    }
    const answer = await sendAttempt(context, request, {
      upstream,
      isFirst: attempt === 1,
      receiveExchange: (opened) => {
        exchange = opened;
      },
    });
    lastAnswer = answer;
    if (answer.isConnectionLost) {
      const { id, service } = upstream.record;
      // A reset alone says little of the request: the network resets connections too.
      if (await context.reachability.hasCrashed(id, service)) {
        await recordUpstreamLoss(context, request, upstream);
      }
    } else if (answer.outcome === "answered") {
      context.quarantine.recordRequestEnd(request.fingerprint, true);
    }
    hasNotExecuted(answer.outcome) ? unexecutedAttempts++ : executedAttempts++;
    const leftMs = request.deadlineAtMs - clock.readMonotonicMs();
    const decision = decideRetry({
      kind: route.kind,
      outcome: answer.outcome,
      executedAttempts,
      unexecutedAttempts,
      maxAttempts: route.maxAttempts,
      hasBudget: budget.hasRoom(),
      isQuarantined: context.quarantine.isQuarantined(request.fingerprint),
      leftMs,
    });
    if (reply.hasEnded()) {
      return "callerLeft";
    }
    if (decision !== "retry") {
      return answerCaller(context, request, decision, answer);
    }
    metrics.increment("forwarding.repeats", 1, { outcome: answer.outcome });
    logger.writeEvent("requestRepeated", {
      request: requestId,
      upstream: upstream.record.id,
      outcome: answer.outcome,
      reason: answer.reason,
      leftMs: Math.round(leftMs),
    });
  }
}

interface Attempt {
  readonly upstream: Upstream;
  readonly isFirst: boolean;
  readonly receiveExchange: (exchange: UpstreamExchange) => void;
}

async function sendAttempt(
  context: ForwardingContext,
  request: ForwardedRequest,
  attempt: Attempt,
): Promise<CollectedAnswer> {
  const { clock, loads } = context;
  const { upstream } = attempt;
  const startMs = clock.readMonotonicMs();
  const leftMs = Math.max(1, request.deadlineAtMs - startMs);
  const timeoutMs = attempt.isFirst && request.route.kind === "repeatable"
    ? Math.min(
      leftMs,
      Math.max(
        leftMs * FORWARDING_LIMITS.firstAttemptShare,
        request.route.targetMs * FORWARDING_LIMITS.firstAttemptTargetFactor,
      ),
    )
    : leftMs;
  const inFlight: InFlightRequest = {
    requestId: request.requestId,
    upstreamId: upstream.record.id,
    copyUpstreamId: undefined,
    moveUpstreamId: undefined,
    promptTokens: 0,
    maxOutputTokens: 0,
    expectedTokens: 0,
    producedTokens: 0,
    isPrefilling: false,
    placedAtMs: startMs,
    aheadTokens: 0,
  };
  // Short requests reach the other hosts with the regular reports only.
  loads.inFlightRequests.set(request.requestId, inFlight);
  context.logger.writeEvent("requestPlaced", {
    request: request.requestId,
    route: request.route.name,
    upstream: upstream.record.id,
    leftMs: Math.round(leftMs),
  });
  const answer = await collectAnswer({
    context,
    requestId: request.requestId,
    timeoutMs,
    receiveExchange: attempt.receiveExchange,
    request: {
      address: upstream.record.address,
      upstreamId: upstream.record.id,
      method: request.method,
      target: request.target,
      headers: context.dialect.encodeRequest(request.rawHeaders, {
        leftMs,
        upstreamId: upstream.record.id,
        team: request.team,
      }),
      body: request.body,
      connectTimeoutMs: FORWARDING_LIMITS.connectTimeoutMs,
    },
  });
  if (loads.inFlightRequests.get(request.requestId) === inFlight) {
    loads.inFlightRequests.delete(request.requestId);
  }
  recordReachability(context, upstream.record.id, answer.outcome);
  context.brittle.recordEnd(
    upstream.record,
    answer.outcome !== "answered" && answer.outcome !== "failed",
    clock.readMonotonicMs() - startMs,
  );
  if (!context.reachability.isUnreachable(upstream.record.service)) {
    observePerformance(loads, {
      upstreamId: upstream.record.id,
      hasFailed: answer.outcome !== "answered",
    });
  }
  return answer;
}

function refuseUnplaced(
  context: ForwardingContext,
  request: ForwardedRequest,
  placement: Exclude<PlainChoice, { type: "placed" | "elsewhere" }>,
  isUnexecuted: boolean,
): string {
  if (!isUnexecuted) {
    request.reply.refuse("outcomeUnknown", "no upstream is left for another attempt");
    return "unknown";
  }
  if (placement.type === "limited") {
    request.reply.refuse("limitReached", REFUSAL_DETAILS.limitReached, placement.retryAfterMs);
    return "limited";
  }
  if (placement.type === "full") {
    request.reply.refuse("noRoomInTime", BRITTLE_FULL, placement.retryAfterMs);
    return "refused";
  }
  const detail = `service ${request.service.name} has no upstream left to try`;
  const retryAfterMs = computeServiceRetryAfter(context, request.service.name);
  request.reply.refuse("noUpstreamLeft", detail, retryAfterMs);
  return "noUpstreamLeft";
}

function answerCaller(
  context: ForwardingContext,
  request: ForwardedRequest,
  decision: Exclude<RetryDecision, "retry">,
  answer: CollectedAnswer,
): string {
  const { reply } = request;
  if (decision === "relay") {
    reply.sendResponse(answer.status, answer.statusText, answer.rawHeaders, answer.body);
    return answer.outcome;
  }
  if (decision === "notRun") {
    const retryAfterMs = computeServiceRetryAfter(context, request.service.name);
    reply.refuse("noUpstreamLeft", answer.reason, retryAfterMs);
    return "notRun";
  }
  // Timers have millisecond resolution and fire up to 2 ms early by the monotonic clock.
  const leftMs = request.deadlineAtMs - context.clock.readMonotonicMs();
  const isLate = leftMs < RETRY_LIMITS.minLeftMs;
  reply.refuse(isLate ? "timeout" : "outcomeUnknown", answer.reason);
  return isLate ? "timeout" : "unknown";
}
