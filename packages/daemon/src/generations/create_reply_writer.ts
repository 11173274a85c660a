import type { FastifyReply } from "fastify";
import { sendProblem } from "../http/mod.ts";
import type { AnswerWriter } from "./answer_writer.ts";
import type { AnswerFormat } from "./create_answer_format.ts";

/** Options of {@link createReplyWriter}. */
export interface ReplyWriterOptions {
  readonly reply: FastifyReply;
  readonly createFormat: (generation: string) => AnswerFormat;
  /** Maximum length of the collected text, in UTF-16 code units. */
  readonly maxLength: number;
}

/** Creates a writer that buffers the whole response and sends it at once. */
export function createReplyWriter(options: ReplyWriterOptions): AnswerWriter {
  const { reply } = options;
  let format: AnswerFormat | undefined;
  let parts: string[] = [];
  let length = 0;
  let isEnded = false;
  return {
    startAnswer: (source) => {
      format = options.createFormat(source.generation);
      parts = [];
      length = 0;
    },
    addToken: (_index, token) => {
      parts.push(token);
      length += token.length;
    },
    flush: () => true,
    waitForDrain: () => Promise.resolve(),
    countDelivered: () => 0,
    writeFinish: (tokens, reason) => {
      isEnded = true;
      reply.send(format?.buildAnswer(parts.join(""), tokens, reason));
    },
    writeError: (error) => {
      isEnded = true;
      sendProblem(reply, error);
    },
    close: () => {
      reply.raw.destroy();
    },
    isDisconnected: () => reply.raw.destroyed && !isEnded,
    isTooLarge: () => length > options.maxLength,
    watchGone: (listener) => {
      reply.raw.once("close", () => isEnded || listener());
    },
  };
}
