import fastify from "fastify";
import type { FastifyReply } from "fastify";
import { startLoopbackServer } from "../start_loopback_server.ts";
import type { StandInServer } from "../stand_in_server.ts";
import type { EngineEvent } from "./engine_event.ts";

/** Fake model engine: starts, resumes and cancels generations over server-sent events. */
export interface Engine extends StandInServer {
  /** Ids of the generations started, in order. */
  listGenerations(): readonly string[];
}

/** Options of {@link createEngine}. */
export interface EngineOptions {
  readonly models: readonly string[];
  readonly capacityTokens?: number;
  /** Time between two tokens, in milliseconds. */
  readonly tokenMs?: number;
  /** Tokens of an answer when the request does not cap them. */
  readonly answerTokens?: number;
  readonly port?: number;
}

interface Generation {
  readonly id: string;
  readonly events: EngineEvent[];
  readonly listeners: Set<(event: EngineEvent) => void>;
  timer?: ReturnType<typeof setInterval>;
}

interface GenerationRequest {
  readonly generation: string;
  readonly prompt: string;
  readonly max_tokens?: number;
}

const DEFAULT_TOKEN_MS = 5;
const DEFAULT_ANSWER_TOKENS = 12;
const DEFAULT_CAPACITY_TOKENS = 100_000;

/** Starts a fake engine. */
export async function createEngine(options: EngineOptions): Promise<Engine> {
  const generations = new Map<string, Generation>();
  const server = fastify();

  server.post("/v1/generations", (request, reply) => {
    const body = request.body as GenerationRequest;
    const generation = startGeneration(body, options);
    generations.set(generation.id, generation);
    streamEvents(reply, generation, 0);
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
    stopGeneration(generations.get(request.params.id));
    return reply.code(204).send();
  });
  server.get("/v1/load", () => {
    const running = [...generations.values()].filter((generation) =>
      generation.timer !== undefined
    );
    return {
      running: running.length,
      waiting: 0,
      used_tokens: running.reduce((sum, generation) => sum + generation.events.length, 0),
      capacity_tokens: options.capacityTokens ?? DEFAULT_CAPACITY_TOKENS,
      preemptions: 0,
      leaving: false,
      models: options.models,
    };
  });

  const started = await startLoopbackServer(server, options.port);
  const close = async () => {
    for (const generation of generations.values()) {
      stopGeneration(generation);
    }
    await started.close();
  };
  return { ...started, close, listGenerations: () => [...generations.keys()] };
}

function startGeneration(request: GenerationRequest, options: EngineOptions): Generation {
  const generation: Generation = { id: request.generation, events: [], listeners: new Set() };
  const length = Math.min(
    request.max_tokens ?? Number.POSITIVE_INFINITY,
    options.answerTokens ?? DEFAULT_ANSWER_TOKENS,
  );
  const addEvent = () => {
    const index = generation.events.length;
    const event: EngineEvent = index < length
      ? { generation: generation.id, index, token: `token${index} ` }
      : { generation: generation.id, index, finish: "stop" };
    generation.events.push(event);
    if ("finish" in event) {
      stopGeneration(generation);
    }
    for (const listener of generation.listeners) {
      listener(event);
    }
  };
  generation.timer = setInterval(addEvent, options.tokenMs ?? DEFAULT_TOKEN_MS);
  return generation;
}

function stopGeneration(generation: Generation | undefined): void {
  if (generation?.timer !== undefined) {
    clearInterval(generation.timer);
    delete generation.timer;
  }
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
