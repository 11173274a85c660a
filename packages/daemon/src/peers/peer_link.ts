import type { ResultError } from "@crocussail/protocol";
import type { Either } from "purify-ts";

/** Reacts to a message of a peer; the returned value answers a request. */
export type PeerHandler = (from: string, message: unknown) => unknown;

/** Messages between daemons, by host name. Each slice has a channel and checks its own messages. */
export interface PeerLink {
  /** Sends without an answer; dropped when the peer cannot be reached or its buffer is full. */
  sendMessage(host: string, channel: string, message: unknown): void;
  /** Sends and waits for the answer at most `timeoutMs`. */
  requestReply(
    host: string,
    channel: string,
    message: unknown,
    timeoutMs: number,
  ): Promise<Either<ResultError, unknown>>;
  /** Registers the handler of a channel; one for each channel. */
  registerHandler(channel: string, handler: PeerHandler): void;
}
