import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import type { EngineClient, EngineStream } from "../adapters/engine_client.ts";
import type { Admission, AdmissionGrant } from "../admission/mod.ts";
import type { DaemonContext } from "../common/daemon_context.ts";
import { authenticateTeam, sendProblem } from "../http/mod.ts";
import type { SettingsView, TeamSettings } from "../settings/mod.ts";
import { chatRequestSchema } from "./chat_request_schema.ts";
import type { ChatRequest } from "./chat_request_schema.ts";
import { decodeLastEventId } from "./decode_last_event_id.ts";
import { encodeResumeToken } from "./encode_resume_token.ts";
import { relayGeneration } from "./relay_generation.ts";
import { createStreamWriter } from "./create_stream_writer.ts";

/** Options of {@link createGenerations}. */
export interface GenerationsOptions {
  readonly context: DaemonContext;
  readonly settings: SettingsView;
  readonly admission: Admission;
  readonly engine: EngineClient;
}

/** Generations slice: exact streams from engines to callers. */
export interface Generations {
  registerRoutes(server: FastifyInstance): void;
  /** Number of streams running on this daemon. */
  countRunning(): number;
  dumpState(): unknown;
}

interface Placement {
  readonly grant: AdmissionGrant;
  readonly generation: string;
  readonly stream: EngineStream;
}

const DEFAULT_DEADLINE_MS = 60_000;
const DEFAULT_URGENCY = 5;
const MAX_PLACEMENTS = 3;
const TOKEN_CHARACTERS = 4;
const GENERATION_ID_BYTES = 12;

/** Creates the generations slice. */
export function createGenerations(options: GenerationsOptions): Generations {
  const { context, settings, engine, admission } = options;
  let running = 0;

  const placeGeneration = async (
    request: FastifyRequest,
    team: TeamSettings,
    chat: ChatRequest,
  ): Promise<Placement | ResultError> => {
    const kind = String(request.headers["crocussail-kind"] ?? "default");
    const prompt = chat.messages.map((message) => message.content).join("\n");
    const excluded = new Set<string>();
    let failure = createResultError("noUpstream", "no engine accepted the generation");
    for (let attempt = 0; attempt < MAX_PLACEMENTS; attempt++) {
      const granted = await admission.requestGrant({
        requestId: request.id,
        team: team.name,
        kind,
        model: chat.model,
        promptTokens: Math.ceil(prompt.length / TOKEN_CHARACTERS),
        ...(chat.max_tokens === undefined ? {} : { maxTokens: chat.max_tokens }),
        deadlineMs: context.clock.readMonotonicMs() +
          (team.kinds[kind]?.deadlineMs ?? DEFAULT_DEADLINE_MS),
        excluded,
      });
      if (granted.isLeft()) {
        return granted.extract() as ResultError;
      }
      const grant = granted.extract() as AdmissionGrant;
      const generation = context.random.nextHex(GENERATION_ID_BYTES);
      const started = await engine.startGeneration(grant.url, {
        generation,
        model: chat.model,
        prompt,
        ...(chat.max_tokens === undefined ? {} : { maxTokens: chat.max_tokens }),
        priority: team.kinds[kind]?.urgency ?? DEFAULT_URGENCY,
      });
      if (started.isRight()) {
        return { grant, generation, stream: started.extract() as EngineStream };
      }
      failure = started.extract() as ResultError;
      grant.release("lost");
      excluded.add(grant.upstream);
      await engine.cancelGeneration(grant.url, generation);
    }
    return failure;
  };

  const handleChat = async (request: FastifyRequest, reply: FastifyReply) => {
    const authenticated = authenticateTeam(request, settings);
    if (authenticated.isLeft()) {
      return sendProblem(reply, authenticated.extract() as ResultError);
    }
    const team = authenticated.extract() as TeamSettings;
    const parsed = chatRequestSchema.safeParse(request.body);
    if (!parsed.success) {
      return sendProblem(reply, createResultError("invalidRequest", parsed.error.message));
    }
    if (!team.access.models.includes(parsed.data.model)) {
      const detail = `team "${team.name}" may not use model "${parsed.data.model}"`;
      return sendProblem(reply, createResultError("forbidden", detail));
    }
    const placed = await placeGeneration(request, team, parsed.data);
    if ("code" in placed) {
      return sendProblem(reply, placed);
    }
    return relayToCaller(reply, { team, chat: parsed.data, placed });
  };

  const relayToCaller = async (
    reply: FastifyReply,
    run: { team: TeamSettings; chat: ChatRequest; placed: Placement },
  ) => {
    const { grant, generation, stream } = run.placed;
    const resumeToken = encodeResumeToken(
      { upstream: grant.upstream, generation, team: run.team.name, model: run.chat.model },
      context.config.fleetKeys[0],
    );
    const writer = createStreamWriter({
      reply,
      resumeToken,
      model: run.chat.model,
      isStream: run.chat.stream,
    });
    running += 1;
    const result = await relayGeneration({
      engine,
      url: grant.url,
      generation,
      fromIndex: 0,
      stream,
      deliverToken: writer.writeToken,
      isCancelled: writer.isClosed,
    });
    running -= 1;
    grant.release(result.isRight() ? "finished" : "lost");
    result.caseOf({
      Left: (error) => writer.writeError(error),
      Right: ({ tokens, reason }) => writer.writeFinish(tokens, reason),
    });
    return reply;
  };

  const handleResume = async (request: FastifyRequest, reply: FastifyReply) => {
    const authenticated = authenticateTeam(request, settings);
    if (authenticated.isLeft()) {
      return sendProblem(reply, authenticated.extract() as ResultError);
    }
    const decoded = decodeLastEventId(
      String(request.headers["last-event-id"] ?? ""),
      context.config.fleetKeys,
    );
    if (decoded.isLeft()) {
      return sendProblem(reply, decoded.extract() as ResultError);
    }
    const { token, index } = decoded.unsafeCoerce();
    const upstream = settings.getUpstreams().get(token.upstream);
    if (token.team !== authenticated.unsafeCoerce().name || upstream === undefined) {
      return sendProblem(reply, createResultError("invalidResumeToken", "token of another team"));
    }
    const writer = createStreamWriter({
      reply,
      resumeToken: encodeResumeToken(token, context.config.fleetKeys[0]),
      model: token.model,
      isStream: true,
    });
    const result = await relayGeneration({
      engine,
      url: upstream.url,
      generation: token.generation,
      fromIndex: index + 1,
      deliverToken: writer.writeToken,
      isCancelled: writer.isClosed,
    });
    result.caseOf({
      Left: (error) => writer.writeError(error),
      Right: ({ tokens, reason }) => writer.writeFinish(tokens, reason),
    });
    return reply;
  };

  return {
    registerRoutes: (server) => {
      server.post("/v1/chat/completions", handleChat);
      server.get("/v1/streams/resume", handleResume);
    },
    countRunning: () => running,
    dumpState: () => ({ running }),
  };
}
