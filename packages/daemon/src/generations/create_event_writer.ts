import { createProblem } from "@crocussail/protocol";
import type { FastifyReply } from "fastify";
import { sendProblem } from "../http/mod.ts";
import type { AnswerSource, AnswerWriter } from "./answer_writer.ts";
import type { AnswerFormat } from "./create_answer_format.ts";

/** Options of {@link createEventWriter}. */
export interface EventWriterOptions {
  readonly reply: FastifyReply;
  readonly createFormat: (generation: string) => AnswerFormat;
}

/**
 * Creates a writer of server-sent events. The response headers are sent with the first token, so an
 * error before it is sent as an ordinary problem document.
 */
export function createEventWriter(options: EventWriterOptions): AnswerWriter {
  const { reply } = options;
  const { raw } = reply;
  let format: AnswerFormat | undefined;
  let eventPrefix = "";
  let eventSuffix = "";
  let idPrefix = "";
  let pendingText = "";
  let deliveredCount = 0;
  let isEnded = false;

  const writeHeaders = () => {
    if (raw.headersSent || raw.destroyed) {
      return;
    }
    reply.hijack();
    raw.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      "x-request-id": String(reply.getHeader("x-request-id")),
    });
  };
  const endWith = (text: string) => {
    isEnded = true;
    raw.end(pendingText + text);
    pendingText = "";
  };
  const isDisconnected = () => raw.destroyed && !isEnded;

  return {
    startAnswer: (source: AnswerSource) => {
      format = options.createFormat(source.generation);
      idPrefix = `id: ${source.resumeToken}:`;
      eventPrefix = `\ndata: ${format.tokenPrefix}`;
      eventSuffix = `${format.tokenSuffix}\n\n`;
    },
    addToken: (index, token) => {
      deliveredCount += 1;
      pendingText += idPrefix + index + eventPrefix + JSON.stringify(token) + eventSuffix;
    },
    flush: () => {
      if (pendingText === "" || raw.destroyed) {
        return true;
      }
      writeHeaders();
      const text = pendingText;
      pendingText = "";
      return raw.write(text);
    },
    waitForDrain: () =>
      new Promise((resolve) => {
        const settle = () => {
          raw.off("drain", settle);
          raw.off("close", settle);
          resolve();
        };
        if (raw.destroyed) {
          resolve();
          return;
        }
        raw.once("drain", settle);
        raw.once("close", settle);
      }),
    countDelivered: () => deliveredCount,
    writeFinish: (tokens, reason) => {
      writeHeaders();
      endWith(`data: ${format?.formatFinish(tokens, reason)}\n\ndata: [DONE]\n\n`);
    },
    writeError: (error) => {
      if (!raw.headersSent) {
        isEnded = true;
        sendProblem(reply, error);
        return;
      }
      endWith(`event: error\ndata: ${JSON.stringify(createProblem(error))}\n\n`);
    },
    close: () => {
      raw.destroy();
    },
    isDisconnected,
    isTooLarge: () => false,
    watchGone: (listener) => {
      raw.once("close", () => isEnded || listener());
    },
  };
}
