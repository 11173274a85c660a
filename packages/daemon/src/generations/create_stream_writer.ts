import { createProblem } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import type { FastifyReply } from "fastify";
import { sendProblem } from "../http/mod.ts";

/** Options of {@link createStreamWriter}. */
export interface StreamWriterOptions {
  readonly reply: FastifyReply;
  readonly resumeToken: string;
  readonly model: string;
  /** Whether the caller asked for server-sent events; otherwise one JSON answer. */
  readonly isStream: boolean;
}

/** Writes one answer to its caller. */
export interface StreamWriter {
  /** Writes a token; waits while the caller's connection is full. */
  readonly writeToken: (index: number, token: string) => Promise<void>;
  readonly writeFinish: (tokens: number, reason: string) => void;
  readonly writeError: (error: ResultError) => void;
  /** Tells whether the caller has gone away. */
  readonly isClosed: () => boolean;
}

/** Creates a writer for server-sent events or for one JSON answer. */
export function createStreamWriter(options: StreamWriterOptions): StreamWriter {
  return options.isStream ? createEventWriter(options) : createJsonWriter(options);
}

function createEventWriter(options: StreamWriterOptions): StreamWriter {
  const { reply, resumeToken, model } = options;
  const { raw } = reply;
  reply.hijack();
  raw.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-store",
    "x-request-id": String(reply.getHeader("x-request-id")),
  });
  const writeEvent = (id: string, data: unknown) =>
    raw.write(`id: ${id}\ndata: ${JSON.stringify(data)}\n\n`);
  return {
    writeToken: async (index, token) => {
      const choice = { index: 0, delta: { content: token }, finish_reason: null };
      const data = { object: "chat.completion.chunk", model, choices: [choice] };
      if (!writeEvent(`${resumeToken}:${index}`, data) && !raw.destroyed) {
        await waitForDrain(raw);
      }
    },
    writeFinish: (tokens, reason) => {
      const choice = { index: 0, delta: {}, finish_reason: reason };
      const usage = { completion_tokens: tokens };
      const data = { object: "chat.completion.chunk", model, choices: [choice], usage };
      raw.end(`data: ${JSON.stringify(data)}\n\ndata: [DONE]\n\n`);
    },
    writeError: (error) => {
      raw.end(`event: error\ndata: ${JSON.stringify(createProblem(error))}\n\n`);
    },
    isClosed: () => raw.destroyed,
  };
}

function createJsonWriter(options: StreamWriterOptions): StreamWriter {
  const { reply, model } = options;
  const tokens: string[] = [];
  return {
    writeToken: (_index, token) => {
      tokens.push(token);
      return Promise.resolve();
    },
    writeFinish: (count, reason) => {
      const message = { role: "assistant", content: tokens.join("") };
      const choices = [{ index: 0, message, finish_reason: reason }];
      const usage = { completion_tokens: count };
      reply.send({ object: "chat.completion", model, choices, usage });
    },
    writeError: (error) => {
      sendProblem(reply, error);
    },
    isClosed: () => reply.raw.destroyed,
  };
}

function waitForDrain(raw: FastifyReply["raw"]): Promise<void> {
  return new Promise((resolve) => {
    const settle = () => {
      raw.off("drain", settle);
      raw.off("close", settle);
      resolve();
    };
    raw.once("drain", settle);
    raw.once("close", settle);
  });
}
