import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import type { FastifyReply, FastifyRequest } from "fastify";
import { authenticateTeam, sendProblem } from "../http/mod.ts";
import type { TeamSettings } from "../settings/mod.ts";
import { createAnswerFormat } from "./create_answer_format.ts";
import { createEventWriter } from "./create_event_writer.ts";
import { decodeLastEventId } from "./decode_last_event_id.ts";
import type { GenerationServices } from "./generation_services.ts";
import { serveResume } from "./serve_resume.ts";

const MS_PER_SECOND = 1_000;

/** Creates the handler of requests with a `Last-Event-ID` header. */
export function createResumeHandler(services: GenerationServices) {
  const { context, limits, settings, slots } = services;
  return async (request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> => {
    const authenticated = authenticateTeam(request, settings);
    if (authenticated.isLeft()) {
      return sendProblem(reply, authenticated.extract() as ResultError);
    }
    const team = authenticated.extract() as TeamSettings;
    const lastEventId = String(request.headers["last-event-id"] ?? "");
    const decoded = decodeLastEventId(lastEventId, context.config.fleetKeys);
    if (decoded.isLeft()) {
      return sendProblem(reply, decoded.extract() as ResultError);
    }
    const position = decoded.unsafeCoerce();
    const { token } = position;
    if (token.team !== team.name) {
      const detail = `the stream was not started by team "${team.name}"`;
      return sendProblem(reply, createResultError("foreignResumeToken", detail));
    }
    const upstream = settings.getUpstreams().get(token.upstream);
    if (upstream === undefined) {
      const detail = `upstream "${token.upstream}" is no longer published`;
      const members = { tokens: position.index + 1 };
      return sendProblem(reply, createResultError("upstreamLost", detail, { members }));
    }
    const slot = slots.takeSlot(team.name, team.access.maxStreams);
    if (slot.isLeft()) {
      const refusal = slot.extract() as ResultError;
      return sendProblem(reply, { ...refusal, ran: "yes" });
    }
    const writer = createEventWriter({
      reply,
      createFormat: (generation) =>
        createAnswerFormat({
          api: token.api,
          generation,
          model: token.model,
          createdSeconds: Math.floor(context.clock.readWallTime().getTime() / MS_PER_SECOND),
          promptTokens: token.promptTokens,
        }),
    });
    const deadlineMs = context.clock.readMonotonicMs() + limits.deadlineMs;
    try {
      await serveResume(services, {
        requestId: request.id,
        position,
        url: upstream.url,
        writer,
        deadlineMs,
      });
    } finally {
      slot.unsafeCoerce()();
    }
    return reply;
  };
}
