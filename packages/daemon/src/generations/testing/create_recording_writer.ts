import type { ResultError } from "@crocussail/protocol";
import type { AnswerWriter } from "../answer_writer.ts";

/** Writer that records what a caller would receive. */
export interface RecordingWriter extends AnswerWriter {
  /** Entries such as `0:a`, `finish 3 stop`, `error upstreamLost`. */
  readonly received: string[];
  /** Ids of the generations that were started, in order. */
  readonly sources: string[];
  readonly errors: ResultError[];
  /** Simulates a disconnect of the caller. */
  dropCaller(): void;
  /** Sets whether the caller's connection accepts data. */
  setWritable(isWritable: boolean): void;
}

/** Creates a recording writer. */
export function createRecordingWriter(): RecordingWriter {
  const received: string[] = [];
  const sources: string[] = [];
  const errors: ResultError[] = [];
  const disconnectListeners: (() => void)[] = [];
  const drainListeners: (() => void)[] = [];
  let isDisconnected = false;
  let isWritable = true;
  let deliveredCount = 0;
  return {
    received,
    sources,
    errors,
    startAnswer: ({ generation }) => sources.push(generation),
    addToken: (index, token) => {
      deliveredCount += 1;
      received.push(`${index}:${token}`);
    },
    flush: () => isWritable,
    waitForDrain: () => new Promise((resolve) => drainListeners.push(resolve)),
    countDelivered: () => deliveredCount,
    writeFinish: (tokens, reason) => received.push(`finish ${tokens} ${reason}`),
    writeError: (error) => {
      errors.push(error);
      received.push(`error ${error.code}`);
    },
    close: () => received.push("close"),
    isDisconnected: () => isDisconnected,
    isTooLarge: () => false,
    watchGone: (listener) => disconnectListeners.push(listener),
    dropCaller: () => {
      isDisconnected = true;
      disconnectListeners.forEach((listener) => listener());
    },
    setWritable: (value) => {
      isWritable = value;
      drainListeners.splice(0).forEach((listener) => listener());
    },
  };
}
