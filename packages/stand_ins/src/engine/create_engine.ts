import fastify from "fastify";
import type { FastifyReply } from "fastify";
import { createHash } from "node:crypto";
import { startLoopbackServer } from "../start_loopback_server.ts";
import type { StandInServer } from "../stand_in_server.ts";
import { createEngineModel } from "./create_engine_model.ts";
import type { EngineEvent } from "./engine_event.ts";
import type { EngineModelOptions } from "./engine_model_options.ts";

/** Fake model engine that serves the engine model over HTTP and server-sent events. */
export interface Engine extends StandInServer {
  /** Ids of the generations started, in order. */
  listGenerations(): readonly string[];
  /** Refuses new generations from now on; running ones continue. */
  startLeaving(): void;
}

/** Options of {@link createEngine}. */
export interface EngineOptions {
  readonly models: readonly string[];
  readonly capacityTokens?: number;
  /** Time between two tokens, in milliseconds. */
  readonly tokenMs?: number;
  /** Tokens of a response unless the request sets a lower limit. */
  readonly answerTokens?: number;
  readonly port?: number;
  /** Overrides the defaults of the engine model. */
  readonly model?: Partial<EngineModelOptions>;
}

interface Generation {
  readonly id: string;
  readonly events: EngineEvent[];
  readonly listeners: Set<(event: EngineEvent) => void>;
}

interface GenerationRequest {
  readonly generation: string;
  readonly prompt: string;
  /** Prompts share cache entries only if they have the same salt. */
  readonly cache_salt?: string;
  readonly max_tokens?: number;
  readonly priority?: number;
}

const DEFAULT_TOKEN_MS = 5;
const DEFAULT_ANSWER_TOKENS = 12;
const DEFAULT_CAPACITY_TOKENS = 100_000;
const DEFAULT_MAX_BATCH = 256;
const DEFAULT_PRIORITY = 5;
const TOKEN_CHARACTERS = 4;
const PREFIX_CHARACTERS = 1_024;

/** Starts a fake engine. */
export async function createEngine(options: EngineOptions): Promise<Engine> {
  const generations = new Map<string, Generation>();
  const server = fastify();
  let timer: ReturnType<typeof setTimeout> | undefined;

  const publishEvent = (generation: Generation, event: EngineEvent) => {
    generation.events.push(event);
    for (const listener of generation.listeners) {
      listener(event);
    }
  };
  const model = createEngineModel(resolveModelOptions(options), {
    addTokens: ({ id, firstIndex, count }) => {
      const generation = generations.get(id);
      for (
        let index = firstIndex;
        generation !== undefined && index < firstIndex + count;
        index++
      ) {
        publishEvent(generation, { generation: id, index, token: `token${index} ` });
      }
    },
    finishJob: (id) => {
      const generation = generations.get(id);
      if (generation !== undefined) {
        const index = generation.events.length;
        publishEvent(generation, { generation: id, index, finish: "stop" });
      }
    },
    pauseJob: () => {},
  });
  const scheduleStep = () => {
    clearTimeout(timer);
    const nextMs = model.readNextStepMs();
    if (nextMs !== undefined) {
      timer = setTimeout(runStep, Math.max(0, nextMs - performance.now()));
    }
  };
  const runStep = () => {
    model.advanceTo(performance.now());
    scheduleStep();
  };

  server.post("/v1/generations", (request, reply) => {
    const body = request.body as GenerationRequest;
    const generation = { id: body.generation, events: [], listeners: new Set<never>() };
    const promptTokens = Math.ceil(body.prompt.length / TOKEN_CHARACTERS);
    const isAccepted = model.submitJob({
      id: body.generation,
      promptTokens,
      outputTokens: Math.min(
        body.max_tokens ?? Number.POSITIVE_INFINITY,
        options.answerTokens ?? DEFAULT_ANSWER_TOKENS,
      ),
      priority: body.priority ?? DEFAULT_PRIORITY,
      prefix: { key: hashPrefix(body.cache_salt ?? "", body.prompt), tokens: promptTokens },
    }, performance.now());
    if (!isAccepted) {
      return reply.code(503).send({ error: "engine is draining or too small for the generation" });
    }
    generations.set(generation.id, generation);
    streamEvents(reply, generation, 0);
    scheduleStep();
  });
  server.get<{ Params: { id: string }; Querystring: { from?: string } }>(
    "/v1/generations/:id/events",
    (request, reply) => {
      const generation = generations.get(request.params.id);
      if (generation === undefined) {
        return reply.code(404).send({ error: "unknown generation" });
      }
      streamEvents(reply, generation, Number(request.query.from ?? 0));
    },
  );
  server.delete<{ Params: { id: string } }>("/v1/generations/:id", (request, reply) => {
    model.cancelJob(request.params.id);
    scheduleStep();
    return reply.code(204).send();
  });
  server.get("/v1/load", () => {
    const report = model.readLoad(performance.now());
    return {
      running: report.running,
      waiting: report.waiting,
      used_tokens: report.usedTokens,
      capacity_tokens: report.capacityTokens,
      preemptions: report.preemptions,
      leaving: report.leaving,
      models: options.models,
    };
  });
  server.get<{ Querystring: { after?: string } }>("/v1/cache-events", (request) => ({
    events: model.listCacheEvents(Number(request.query.after ?? 0)),
  }));

  const loopbackServer = await startLoopbackServer(server, options.port);
  const close = async () => {
    clearTimeout(timer);
    model.stopAtOnce();
    await loopbackServer.close();
  };
  const listGenerations = () => [...generations.keys()];
  return { ...loopbackServer, close, listGenerations, startLeaving: model.startLeaving };
}

function resolveModelOptions(options: EngineOptions): EngineModelOptions {
  return {
    capacityTokens: options.capacityTokens ?? DEFAULT_CAPACITY_TOKENS,
    maxBatch: DEFAULT_MAX_BATCH,
    baseStepMs: options.tokenMs ?? DEFAULT_TOKEN_MS,
    sequenceStepMs: 0,
    prefillTokenMs: 0,
    speed: 1,
    reportLagMs: 0,
    prefixCacheTokens: DEFAULT_CAPACITY_TOKENS,
    ...options.model,
  };
}

function hashPrefix(salt: string, prompt: string): string {
  const hash = createHash("sha256").update(salt).update("\0");
  return hash.update(prompt.slice(0, PREFIX_CHARACTERS)).digest("hex");
}

function streamEvents(reply: FastifyReply, generation: Generation, from: number): void {
  reply.hijack();
  reply.raw.writeHead(200, { "content-type": "text/event-stream" });
  const writeEvent = (event: EngineEvent) => {
    reply.raw.write(`data: ${JSON.stringify(event)}\n\n`);
    if ("finish" in event) {
      reply.raw.end();
    }
  };
  for (const event of generation.events.slice(from)) {
    writeEvent(event);
  }
  generation.listeners.add(writeEvent);
  reply.raw.on("close", () => generation.listeners.delete(writeEvent));
}
