import { createResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import { Agent } from "undici";
import { describeEngineFailure } from "./describe_engine_failure.ts";
import type { EngineClient, EngineRequest } from "./engine_client.ts";
import { HTTP_ENGINE_DEFAULTS } from "./http_engine_defaults.ts";
import type { HttpEngineLimits } from "./http_engine_defaults.ts";
import { openEngineStream } from "./open_engine_stream.ts";

/** Options of {@link createHttpEngineClient}; each overrides a default. */
export type HttpEngineClientOptions = Partial<HttpEngineLimits>;

const NOT_FOUND = 404;
const FIRST_ERROR_STATUS = 400;

/** Creates a client for engines that stream server-sent events over HTTP. */
export function createHttpEngineClient(options: HttpEngineClientOptions = {}): EngineClient {
  const limits = { ...HTTP_ENGINE_DEFAULTS, ...options };
  const agent = new Agent({
    connect: { timeout: limits.connectTimeoutMs },
    headersTimeout: limits.headersTimeoutMs,
    bodyTimeout: 0,
  });
  return {
    startGeneration: (url, generation) =>
      openEngineStream({
        agent,
        limits,
        origin: url,
        path: "/v1/generations",
        method: "POST",
        body: formatRequest(generation),
      }),
    resumeGeneration: (url, generation, index) =>
      openEngineStream({
        agent,
        limits,
        origin: url,
        path: `/v1/generations/${encodeURIComponent(generation)}/events?from=${index}`,
        method: "GET",
      }),
    cancelGeneration: async (url, generation) => {
      try {
        const answer = await agent.request({
          origin: url,
          path: `/v1/generations/${encodeURIComponent(generation)}`,
          method: "DELETE",
          headersTimeout: limits.cancelTimeoutMs,
          bodyTimeout: limits.cancelTimeoutMs,
        });
        await answer.body.dump();
        // Status 404 means that the engine no longer has the generation.
        const isCancelled = answer.statusCode < FIRST_ERROR_STATUS ||
          answer.statusCode === NOT_FOUND;
        const detail = `${url}: cancel request returned status ${answer.statusCode}`;
        return isCancelled ? Right(undefined) : Left(createResultError("upstreamLost", detail));
      } catch (error) {
        return Left(describeEngineFailure(url, error));
      }
    },
  };
}

function formatRequest(request: EngineRequest): string {
  return JSON.stringify({
    generation: request.generation,
    model: request.model,
    ...(request.adapter === undefined ? {} : { adapter: request.adapter }),
    prompt: request.prompt,
    cache_salt: request.cacheSalt,
    priority: request.priority,
    ...(request.maxTokens === undefined ? {} : { max_tokens: request.maxTokens }),
  });
}
