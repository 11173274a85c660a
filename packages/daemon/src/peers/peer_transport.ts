import type { ResultError } from "@crocussail/protocol";
import type { Either } from "purify-ts";

/** Handles a message from a peer; for a request, the returned value is the reply. */
export type PeerHandler = (from: string, message: unknown) => unknown;

/** Sends messages between hosts; each module has a channel and validates the messages on it. */
export interface PeerTransport {
  /** Sends a message without reply; dropped if the peer is unreachable or its buffer is full. */
  sendMessage(host: string, channel: string, message: unknown): void;
  /** Sends a request and waits at most `timeoutMs` for the reply. */
  requestReply(
    host: string,
    channel: string,
    message: unknown,
    timeoutMs: number,
  ): Promise<Either<ResultError, unknown>>;
  /** Registers the handler of a channel; each channel has one. */
  registerHandler(channel: string, handler: PeerHandler): void;
}
