import type { WebSocket } from "ws";
import { PEER_LIMITS } from "./constants.ts";
import { encodePeerFrame } from "./encode_peer_frame.ts";
import type { PeerFrame } from "./peer_frame.ts";

/**
 * Sends a frame and returns its length in bytes. Drops it and returns 0 if the connection is closed
 * or has too many unsent bytes.
 */
export function sendPeerFrame(socket: WebSocket, frame: PeerFrame): number {
  if (socket.readyState !== socket.OPEN) {
    return 0;
  }
  if (socket.bufferedAmount > PEER_LIMITS.maxBufferedBytes) {
    return 0;
  }
  const data = encodePeerFrame(frame);
  socket.send(data);
  return data.length;
}
