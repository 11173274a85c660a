import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import type { EngineStream } from "../adapters/engine_client.ts";
import type { AdmissionGrant } from "../admission/mod.ts";
import { encodeResumeToken } from "./encode_resume_token.ts";
import { endRun } from "./end_run.ts";
import type { FailedPlacement } from "./failed_placement.ts";
import type { GenerationServices } from "./generation_services.ts";
import { relayRun } from "./relay_run.ts";
import type { Run } from "./run.ts";
import type { ServeOptions } from "./serve_options.ts";

/** Executes one placement; returns undefined unless it has failed. */
export async function runPlacement(
  services: GenerationServices,
  options: ServeOptions,
  grant: AdmissionGrant,
): Promise<FailedPlacement | undefined> {
  const { context, limits, engine } = services;
  const { request, target, team, writer, requestId } = options;
  const generation = context.random.nextHex(limits.generationIdBytes);
  const { upstream, url } = grant;
  const startResult = await engine.startGeneration(url, {
    generation,
    ...target,
    prompt: request.prompt,
    cacheSalt: team.name,
    ...(request.maxTokens === undefined ? {} : { maxTokens: request.maxTokens }),
    priority: team.kinds[options.kind]?.urgency ?? limits.urgency,
  });
  if (startResult.isLeft()) {
    const error = startResult.extract() as ResultError;
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
  const stream = startResult.extract() as EngineStream;
  const recordProgress = (tokens: number) => grant.recordTokens(tokens);
  const end = await relayRun(services, {
    requestId,
    run,
    writer,
    deadlineMs,
    stream,
    recordProgress,
  });
  const deliveredTokens = writer.countDelivered();
  if (end.type !== "lost") {
    endRun(services, { requestId, run, writer, end, isResumable: deliveredTokens > 0 });
    services.quarantine.recordRequestEnd(options.fingerprint, end.type === "finished");
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
      grant.recordTokens(tokens);
      grant.release(outcome);
    },
  };
}
