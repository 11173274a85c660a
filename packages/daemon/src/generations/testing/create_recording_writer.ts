import type { ResultError } from "@crocussail/protocol";
import type { AnswerWriter } from "../answer_writer.ts";

/** Writer that records what a caller would get. */
export interface RecordingWriter extends AnswerWriter {
  /** Entries such as `0:a`, `finish 3 stop`, `error upstreamLost`. */
  readonly received: string[];
  /** Ids of the generations whose tokens follow, in order. */
  readonly sources: string[];
  readonly errors: ResultError[];
  /** Makes the caller vanish. */
  leave(): void;
  /** Sets whether the caller's connection takes data. */
  setRoom(hasRoom: boolean): void;
}

/** Creates a recording writer. */
export function createRecordingWriter(): RecordingWriter {
  const received: string[] = [];
  const sources: string[] = [];
  const errors: ResultError[] = [];
  const goneListeners: (() => void)[] = [];
  const roomListeners: (() => void)[] = [];
  let isGone = false;
  let hasRoom = true;
  let delivered = 0;
  return {
    received,
    sources,
    errors,
    startAnswer: ({ generation }) => sources.push(generation),
    addToken: (index, token) => {
      delivered += 1;
      received.push(`${index}:${token}`);
    },
    flush: () => hasRoom,
    waitForRoom: () => new Promise((resolve) => roomListeners.push(resolve)),
    countDelivered: () => delivered,
    writeFinish: (tokens, reason) => received.push(`finish ${tokens} ${reason}`),
    writeError: (error) => {
      errors.push(error);
      received.push(`error ${error.code}`);
    },
    close: () => received.push("close"),
    isGone: () => isGone,
    isTooLarge: () => false,
    watchGone: (listener) => goneListeners.push(listener),
    leave: () => {
      isGone = true;
      goneListeners.forEach((listener) => listener());
    },
    setRoom: (value) => {
      hasRoom = value;
      roomListeners.splice(0).forEach((listener) => listener());
    },
  };
}
