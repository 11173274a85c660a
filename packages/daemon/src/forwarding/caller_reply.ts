import type { ResultCodeName } from "@crocussail/protocol";

/** The response to one caller; only the first final response is sent. */
export interface CallerReply {
  /** Sends an upstream's complete response. */
  sendResponse(
    status: number,
    statusText: string,
    rawHeaders: readonly string[],
    body: Uint8Array,
  ): void;
  /** Sends the head of a response whose body is streamed. */
  startStream(status: number, statusText: string, rawHeaders: readonly string[]): void;
  /** Returns false when the caller reads so slowly that its connection must be closed. */
  sendChunk(chunk: Uint8Array): boolean;
  endStream(): void;
  /** Responds with a problem document created by this host. */
  refuse(code: ResultCodeName, detail: string, retryAfterMs?: number): void;
  /** Closes the connection so that the response cannot be taken for a complete one. */
  abort(): void;
  /** Calls `callback` once if the caller disconnects before the response is complete. */
  onDisconnect(callback: () => void): void;
  hasStarted(): boolean;
  hasEnded(): boolean;
}
