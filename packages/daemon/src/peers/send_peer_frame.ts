import type { WebSocket } from "ws";
import { PEER_LIMITS } from "./constants.ts";
import { encodePeerFrame } from "./encode_peer_frame.ts";
import type { PeerFrame } from "./peer_frame.ts";

/** Sends a frame; drops it when the link is closed or holds too many unsent bytes. */
export function sendPeerFrame(socket: WebSocket, frame: PeerFrame): void {
  if (socket.readyState !== socket.OPEN) {
    return;
  }
  if (socket.bufferedAmount > PEER_LIMITS.maxBufferedBytes) {
    return;
  }
  socket.send(encodePeerFrame(frame));
}
