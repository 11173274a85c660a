import { pack } from "msgpackr";
import type { WebSocket } from "ws";
import { PEER_LIMITS } from "./constants.ts";
import type { PeerFrame } from "./peer_frame_schema.ts";

/** Sends a frame; drops it when the link is closed or holds too many unsent bytes. */
export function sendPeerFrame(socket: WebSocket, frame: PeerFrame): void {
  if (socket.readyState !== socket.OPEN) {
    return;
  }
  if (socket.bufferedAmount > PEER_LIMITS.maxBufferedBytes) {
    return;
  }
  socket.send(pack(frame));
}
