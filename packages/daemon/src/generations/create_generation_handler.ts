import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import type { FastifyReply, FastifyRequest } from "fastify";
import { authenticateTeam, sendProblem } from "../http/mod.ts";
import type { TeamSettings } from "../settings/mod.ts";
import type { AnswerWriter } from "./answer_writer.ts";
import { createAnswerFormat } from "./create_answer_format.ts";
import { createEventWriter } from "./create_event_writer.ts";
import { createReplyWriter } from "./create_reply_writer.ts";
import { digestRequest } from "./digest_request.ts";
import type { GenerationApi, GenerationRequest } from "./generation_request.ts";
import type { GenerationServices } from "./generation_services.ts";
import { parseGenerationRequest } from "./parse_generation_request.ts";
import { resolveModelTarget } from "./resolve_model_target.ts";
import { serveGeneration } from "./serve_generation.ts";

const MS_PER_SECOND = 1_000;
const KIND_HEADER = "crocussail-kind";
const DEFAULT_KIND = "default";

/** Creates the handler of new requests of one API. */
export function createGenerationHandler(services: GenerationServices, api: GenerationApi) {
  const { context, limits, settings, slots, quarantine } = services;
  return async (httpRequest: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> => {
    const authenticated = authenticateTeam(httpRequest, settings);
    if (authenticated.isLeft()) {
      return sendProblem(reply, authenticated.extract() as ResultError);
    }
    const team = authenticated.extract() as TeamSettings;
    const parsed = parseGenerationRequest(api, httpRequest.body);
    if (parsed.isLeft()) {
      return sendProblem(reply, parsed.extract() as ResultError);
    }
    const request = parsed.extract() as GenerationRequest;
    // Releases the parsed body, which would otherwise stay in memory until the stream ends.
    httpRequest.body = undefined;
    const fingerprint = digestRequest(team.name, request);
    const target = resolveModelTarget(request.model, team, settings);
    if (target.isLeft()) {
      return sendProblem(reply, target.extract() as ResultError);
    }
    if (quarantine.isQuarantined(fingerprint)) {
      const detail = "this request crashed upstreams before and was not executed again";
      return sendProblem(reply, createResultError("requestQuarantined", detail));
    }
    const slot = slots.takeSlot(team.name, team.access.maxStreams);
    if (slot.isLeft()) {
      return sendProblem(reply, slot.extract() as ResultError);
    }
    const kind = String(httpRequest.headers[KIND_HEADER] ?? DEFAULT_KIND);
    const deadlineMs = context.clock.readMonotonicMs() +
      (team.kinds[kind]?.deadlineMs ?? limits.deadlineMs);
    const writer = createWriter(services, request, reply);
    const requestId = httpRequest.id;
    try {
      await serveGeneration(
        services,
        {
          requestId,
          team,
          kind,
          request,
          target: target.unsafeCoerce(),
          writer,
          fingerprint,
          deadlineMs,
        },
      );
    } finally {
      slot.unsafeCoerce()();
    }
    return reply;
  };
}

function createWriter(
  services: GenerationServices,
  request: GenerationRequest,
  reply: FastifyReply,
): AnswerWriter {
  const { clock } = services.context;
  const createFormat = (generation: string) =>
    createAnswerFormat({
      api: request.api,
      generation,
      model: request.model,
      createdSeconds: Math.floor(clock.readWallTime().getTime() / MS_PER_SECOND),
      promptTokens: request.promptTokens,
    });
  return request.isStream
    ? createEventWriter({ reply, createFormat })
    : createReplyWriter({ reply, createFormat, maxLength: services.limits.maxReplyLength });
}
