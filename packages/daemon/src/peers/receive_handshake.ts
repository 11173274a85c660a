import type { Clock } from "@crocussail/protocol";
import { unpack } from "msgpackr";
import type { WebSocket } from "ws";
import { PEER_LIMITS } from "./constants.ts";
import { peerHandshakeSchema } from "./peer_handshake_schema.ts";
import type { PeerHandshake } from "./peer_handshake_schema.ts";

/** Waits for the next handshake message of the given type; rejects on anything else. */
export function receiveHandshake<Type extends PeerHandshake["type"]>(
  socket: WebSocket,
  type: Type,
  clock: Clock,
): Promise<Extract<PeerHandshake, { type: Type }>> {
  return new Promise((resolve, reject) => {
    const timer = clock.startTimer(
      PEER_LIMITS.handshakeTimeoutMs,
      () => reject(new Error(`timed out waiting for "${type}"`)),
    );
    socket.once("close", () => {
      timer.cancel();
      reject(new Error("connection closed during the handshake"));
    });
    socket.once("message", (data) => {
      timer.cancel();
      const parsed = parseHandshake(data as Uint8Array);
      if (parsed?.type === type) {
        resolve(parsed as Extract<PeerHandshake, { type: Type }>);
        return;
      }
      reject(new Error(`expected the handshake message "${type}"`));
    });
  });
}

function parseHandshake(data: Uint8Array): PeerHandshake | undefined {
  try {
    return peerHandshakeSchema.parse(unpack(data));
  } catch {
    return undefined;
  }
}
