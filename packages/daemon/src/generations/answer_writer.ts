import type { ResultError } from "@crocussail/protocol";

/** Identifies the generation whose tokens are written. */
export interface AnswerSource {
  readonly generation: string;
  /** Signed token with which callers resume the stream; does not include the token index. */
  readonly resumeToken: string;
}

/** Writes one response to its caller. */
export interface AnswerWriter {
  /** Starts writing a generation and drops undelivered tokens of an earlier one. */
  startAnswer(source: AnswerSource): void;
  /** Buffers a token for the next flush. */
  addToken(index: number, token: string): void;
  /** Sends the buffered tokens; returns false when the caller's connection applies backpressure. */
  flush(): boolean;
  /** Waits until the connection has drained or is closed. */
  waitForDrain(): Promise<void>;
  /** Number of tokens that were sent to the caller, or may have been. */
  countDelivered(): number;
  /** Ends a complete response; `tokens` is the number of tokens of the whole generation. */
  writeFinish(tokens: number, reason: string): void;
  /** Ends an incomplete response with an error. */
  writeError(error: ResultError): void;
  /** Closes the connection without writing; used once a final error has had time to be sent. */
  close(): void;
  /** Returns whether the caller has disconnected. */
  isDisconnected(): boolean;
  /** Returns whether a non-streaming response has exceeded its size limit. */
  isTooLarge(): boolean;
  /** Calls `listener` when the caller disconnects before the response has ended. */
  watchGone(listener: () => void): void;
}
