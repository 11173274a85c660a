import type { ResultError } from "@crocussail/protocol";

/** Names the generation whose tokens follow. */
export interface AnswerSource {
  readonly generation: string;
  /** Signed token that callers present to resume; without the index. */
  readonly resumeToken: string;
}

/** Writes one answer to its caller. */
export interface AnswerWriter {
  /** Begins with a generation; what an earlier one left undelivered is dropped. */
  startAnswer(source: AnswerSource): void;
  /** Adds a token to what the next flush sends. */
  addToken(index: number, token: string): void;
  /** Sends the added tokens; false when the caller's connection is full. */
  flush(): boolean;
  /** Waits until a full connection has room, or is closed. */
  waitForRoom(): Promise<void>;
  /** Tokens that have left, or may have left, for the caller. */
  countDelivered(): number;
  /** Ends a complete answer; `tokens` counts the whole generation. */
  writeFinish(tokens: number, reason: string): void;
  /** Ends an incomplete answer. */
  writeError(error: ResultError): void;
  /** Closes the connection without a further word; used after a pause for the error to leave. */
  close(): void;
  /** Tells whether the caller has gone away. */
  isGone(): boolean;
  /** Tells whether an answer in one piece has exceeded its limit. */
  isTooLarge(): boolean;
  /** Calls `listener` when the caller goes away before the end of the answer. */
  watchGone(listener: () => void): void;
}
