import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import { z } from "zod";
import { chatRequestSchema } from "./chat_request_schema.ts";
import { completionRequestSchema } from "./completion_request_schema.ts";
import { GENERATION_DEFAULTS } from "./generation_defaults.ts";
import type { GenerationApi, GenerationRequest } from "./generation_request.ts";

/** Validates the body of a request and converts it to the common form. */
export function parseGenerationRequest(
  api: GenerationApi,
  body: unknown,
): Either<ResultError, GenerationRequest> {
  return api === "chat" ? parseChat(body) : parseCompletion(body);
}

function parseChat(body: unknown): Either<ResultError, GenerationRequest> {
  const parsed = chatRequestSchema.safeParse(body);
  if (!parsed.success) {
    return Left(createResultError("invalidRequest", z.prettifyError(parsed.error)));
  }
  const { model, messages, stream } = parsed.data;
  const prompt = messages.map((message) => message.content).join("\n");
  const maxTokens = parsed.data.max_completion_tokens ?? parsed.data.max_tokens;
  return Right(buildRequest({ api: "chat", model, prompt, isStream: stream }, maxTokens));
}

function parseCompletion(body: unknown): Either<ResultError, GenerationRequest> {
  const parsed = completionRequestSchema.safeParse(body);
  if (!parsed.success) {
    return Left(createResultError("invalidRequest", z.prettifyError(parsed.error)));
  }
  const { model, prompt, stream, max_tokens } = parsed.data;
  return Right(buildRequest({ api: "completion", model, prompt, isStream: stream }, max_tokens));
}

function buildRequest(
  parts: Omit<GenerationRequest, "promptTokens" | "maxTokens">,
  maxTokens: number | undefined,
): GenerationRequest {
  const promptTokens = Math.ceil(parts.prompt.length / GENERATION_DEFAULTS.tokenCharacters);
  return { ...parts, promptTokens, ...(maxTokens === undefined ? {} : { maxTokens }) };
}
