import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import { request } from "undici";
import type { Dispatcher } from "undici";
import type { EngineClient, EngineStream } from "./engine_client.ts";
import { engineEventSchema } from "./engine_event_schema.ts";
import type { EngineEvent } from "./engine_event_schema.ts";

const EVENT_PREFIX = "data: ";

/** Creates a client for engines that stream server-sent events over HTTP. */
export function createHttpEngineClient(): EngineClient {
  return {
    startGeneration: (url, generation) =>
      openStream(`${url}/v1/generations`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({
          generation: generation.generation,
          model: generation.model,
          prompt: generation.prompt,
          priority: generation.priority,
          ...(generation.maxTokens === undefined ? {} : { max_tokens: generation.maxTokens }),
        }),
      }),
    resumeGeneration: (url, generation, index) =>
      openStream(`${url}/v1/generations/${generation}/events?from=${index}`, { method: "GET" }),
    cancelGeneration: async (url, generation) => {
      try {
        await request(`${url}/v1/generations/${generation}`, { method: "DELETE" });
        return Right(undefined);
      } catch (error) {
        return Left(createResultError("upstreamLost", `${url}: ${error}`));
      }
    },
  };
}

async function openStream(
  url: string,
  options: Omit<Dispatcher.RequestOptions, "path" | "origin">,
): Promise<Either<ResultError, EngineStream>> {
  const abort = new AbortController();
  try {
    const answer = await request(url, { ...options, bodyTimeout: 0, signal: abort.signal });
    if (answer.statusCode !== 200) {
      await answer.body.dump();
      const detail = `${url}: status ${answer.statusCode}`;
      return Left(createResultError("upstreamLost", detail, { ran: "no" }));
    }
    return Right({ events: iterateEvents(answer.body), close: () => abort.abort() });
  } catch (error) {
    const isRefused = (error as { code?: string }).code === "ECONNREFUSED";
    const ran = isRefused ? "no" : "unknown";
    return Left(createResultError("upstreamLost", `${url}: ${error}`, { ran }));
  }
}

async function* iterateEvents(body: Dispatcher.ResponseData["body"]): AsyncIterable<EngineEvent> {
  body.setEncoding("utf8");
  let buffered = "";
  for await (const chunk of body) {
    buffered += chunk;
    const blocks = buffered.split("\n\n");
    buffered = blocks.pop() ?? "";
    for (const block of blocks) {
      yield engineEventSchema.parse(JSON.parse(block.slice(EVENT_PREFIX.length)));
    }
  }
}
