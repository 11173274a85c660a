import { createResultError } from "@crocussail/protocol";
import type { RanState, ResultError } from "@crocussail/protocol";
import type { EngineStream } from "../adapters/engine_client.ts";
import type { AdmissionGrant } from "../admission/mod.ts";
import type { TeamSettings } from "../settings/mod.ts";
import type { AnswerWriter } from "./answer_writer.ts";
import { consumeRetry } from "./consume_retry.ts";
import { decidePlacement } from "./decide_placement.ts";
import { describeFailure } from "./describe_failure.ts";
import { encodeResumeToken } from "./encode_resume_token.ts";
import { endRun } from "./end_run.ts";
import type { FailedPlacement } from "./failed_placement.ts";
import type { GenerationRequest } from "./generation_request.ts";
import type { GenerationServices } from "./generation_services.ts";
import type { ModelTarget } from "./model_target.ts";
import { mergeRan } from "./merge_ran.ts";
import { relayRun } from "./relay_run.ts";
import { refillRetryBudget } from "./retry_budget_state.ts";
import type { Run } from "./run.ts";
import { settleFailure } from "./settle_failure.ts";

/** One request of a caller, from its arrival to its end. */
export interface ServeOptions {
  readonly requestId: string;
  readonly team: TeamSettings;
  readonly kind: string;
  readonly request: GenerationRequest;
  readonly target: ModelTarget;
  readonly writer: AnswerWriter;
  /** Identity of the request for the quarantine. */
  readonly fingerprint: string;
  readonly deadlineMs: number;
}

/** Serves a request: places it, relays its answer and places it again while that is allowed. */
export async function serveGeneration(
  services: GenerationServices,
  options: ServeOptions,
): Promise<void> {
  const { context, limits, settings, retryBudget } = services;
  const { writer, requestId } = options;
  const excluded = new Set<string>();
  let ran: RanState = "no";
  refillRetryBudget(retryBudget, settings.getFleetLimits().retryBudgetRatio, limits.retryBurst);
  for (let placements = 1;; placements++) {
    const granted = await requestGrant(services, options, excluded);
    if ("code" in granted) {
      writer.writeError({ ...granted, ran: mergeRan(ran, granted.ran) });
      return;
    }
    const failed = await runPlacement(services, options, granted);
    if (failed === undefined) {
      return;
    }
    ran = mergeRan(ran, failed.ran);
    excluded.add(failed.upstream);
    await settleFailure(services, options.fingerprint, failed);
    const effect = decidePlacement({
      placements,
      deliveredTokens: failed.deliveredTokens,
      isCallerGone: writer.isGone(),
      isQuarantined: services.quarantine.isQuarantined(options.fingerprint),
      nowMs: context.clock.readMonotonicMs(),
      deadlineMs: options.deadlineMs,
    }, { maxPlacements: limits.maxPlacements, consumeRetry: () => consumeRetry(retryBudget) });
    const { upstream, generation } = failed;
    const fields = { upstream, generation, ran: failed.ran, cause: failed.error.code };
    context.journal.recordDecision(requestId, "generations", effect.type, { ...fields, ...effect });
    if (effect.type === "fail") {
      context.metrics.increment("generations.lost", 1, { reason: effect.reason });
      context.logger.writeEvent("generationLost", {
        request: requestId,
        ...fields,
        reason: effect.reason,
      });
      writer.writeError(describeFailure(effect.reason, failed, ran));
      return;
    }
    context.logger.writeEvent("generationPlacedAgain", { request: requestId, ...fields });
    context.metrics.increment("generations.placed_again");
  }
}

async function requestGrant(
  services: GenerationServices,
  options: ServeOptions,
  excluded: ReadonlySet<string>,
): Promise<AdmissionGrant | ResultError> {
  const { request, target, team, writer } = options;
  const granted = await services.admission.requestGrant({
    requestId: options.requestId,
    team: team.name,
    kind: options.kind,
    model: target.model,
    promptTokens: request.promptTokens,
    ...(request.maxTokens === undefined ? {} : { maxTokens: request.maxTokens }),
    deadlineMs: options.deadlineMs,
    excluded,
  });
  if (granted.isLeft()) {
    return granted.extract() as ResultError;
  }
  const grant = granted.extract() as AdmissionGrant;
  const isLate = services.context.clock.readMonotonicMs() >= options.deadlineMs;
  if (!isLate && !writer.isGone()) {
    return grant;
  }
  grant.release("notRun");
  const detail = isLate ? "deadline passed before a place was free" : "caller has gone";
  return createResultError("timeout", detail, { ran: "no" });
}

/** Runs one placement; undefined when the request has been answered or handed over. */
async function runPlacement(
  services: GenerationServices,
  options: ServeOptions,
  grant: AdmissionGrant,
): Promise<FailedPlacement | undefined> {
  const { context, limits, engine } = services;
  const { request, target, team, writer, requestId } = options;
  const generation = context.random.nextHex(limits.generationIdBytes);
  const { upstream, url } = grant;
  const started = await engine.startGeneration(url, {
    generation,
    ...target,
    prompt: request.prompt,
    ...(request.maxTokens === undefined ? {} : { maxTokens: request.maxTokens }),
    priority: team.kinds[options.kind]?.urgency ?? limits.urgency,
  });
  if (started.isLeft()) {
    const error = started.extract() as ResultError;
    grant.release(error.ran === "no" ? "notRun" : "lost");
    const cause = error.code;
    const tokens = { deliveredTokens: 0, producedTokens: 0 };
    return { ran: error.ran, error, cause, ...tokens, upstream, url, generation };
  }
  const run = createRun(options, grant, generation);
  const { model, api, promptTokens } = request;
  const resumeToken = encodeResumeToken(
    {
      upstream,
      generation,
      team: team.name,
      model,
      host: context.config.host.name,
      api,
      promptTokens,
    },
    context.config.fleetKeys[0],
  );
  writer.startAnswer({ generation, resumeToken });
  const { deadlineMs } = options;
  const stream = started.extract() as EngineStream;
  const noteProgress = (tokens: number) => grant.noteTokens(tokens);
  const end = await relayRun(services, {
    requestId,
    run,
    writer,
    deadlineMs,
    stream,
    noteProgress,
  });
  const deliveredTokens = writer.countDelivered();
  if (end.type !== "lost") {
    endRun(services, { requestId, run, writer, end, isResumable: deliveredTokens > 0 });
    services.quarantine.noteEnd(options.fingerprint, end.type);
    return undefined;
  }
  if (deliveredTokens > 0 && end.cause.code !== "generationUnknown") {
    services.runs.holdRun(run);
  } else {
    run.release("lost", end.tokens);
  }
  const detail = `upstream "${upstream}" was lost (${end.cause.code}, ${end.cause.reason}) ` +
    `after ${end.tokens} tokens`;
  const cause = end.cause.code;
  const code = cause === "generationUnknown" ? cause : "upstreamLost";
  const error = createResultError(code, detail, { ran: "yes" });
  const tokens = { deliveredTokens, producedTokens: end.tokens };
  return { ran: "yes", error, cause, ...tokens, upstream, url, generation };
}

function createRun(options: ServeOptions, grant: AdmissionGrant, generation: string): Run {
  let isReleased = false;
  return {
    generation,
    team: options.team.name,
    upstream: grant.upstream,
    url: grant.url,
    tokens: 0,
    isSuperseded: false,
    interrupt: () => {},
    release: (outcome, tokens) => {
      if (isReleased) {
        return;
      }
      isReleased = true;
      grant.noteTokens(tokens);
      grant.release(outcome);
    },
  };
}
