import type { GenerationApi } from "./generation_request.ts";

/** Options of {@link createAnswerFormat}. */
export interface AnswerFormatOptions {
  readonly api: GenerationApi;
  readonly generation: string;
  readonly model: string;
  /** Wall-clock time at which the response was started, in seconds. */
  readonly createdSeconds: number;
  readonly promptTokens: number;
}

/** Renders the JSON documents of one response in the format of its API. */
export interface AnswerFormat {
  /** Text before and after a token's JSON string in the document of its event. */
  readonly tokenPrefix: string;
  readonly tokenSuffix: string;
  /** Renders the document of the last event. */
  formatFinish(tokens: number, reason: string): string;
  /** Builds the document of a non-streaming response. */
  buildAnswer(text: string, tokens: number, reason: string): unknown;
}

/** Creates the format of one response, compatible with the OpenAI APIs. */
export function createAnswerFormat(options: AnswerFormatOptions): AnswerFormat {
  const { api, model, promptTokens } = options;
  const isChat = api === "chat";
  const base = {
    id: `${isChat ? "chatcmpl" : "cmpl"}-${options.generation}`,
    created: options.createdSeconds,
    model,
  };
  const chunk = { ...base, object: isChat ? "chat.completion.chunk" : "text_completion" };
  const head = JSON.stringify(chunk).slice(0, -1);
  const countUsage = (tokens: number) => ({
    prompt_tokens: promptTokens,
    completion_tokens: tokens,
    total_tokens: promptTokens + tokens,
  });
  return {
    tokenPrefix: `${head},"choices":[{"index":0,${isChat ? `"delta":{"content":` : `"text":`}`,
    tokenSuffix: `${isChat ? "}" : ""},"finish_reason":null}]}`,
    formatFinish: (tokens, reason) => {
      const content = isChat ? { delta: {} } : { text: "" };
      const choices = [{ index: 0, ...content, finish_reason: reason }];
      return JSON.stringify({ ...chunk, choices, usage: countUsage(tokens) });
    },
    buildAnswer: (text, tokens, reason) => {
      const content = isChat ? { message: { role: "assistant", content: text } } : { text };
      return {
        ...base,
        object: isChat ? "chat.completion" : "text_completion",
        choices: [{ index: 0, ...content, finish_reason: reason }],
        usage: countUsage(tokens),
      };
    },
  };
}
