import { pack } from "msgpackr";
import type { PeerFrame } from "./peer_frame.ts";
import type { WirePeerFrame } from "./wire_peer_frame_schema.ts";

/** Encodes a frame for the wire. */
export function encodePeerFrame(frame: PeerFrame): Uint8Array {
  return pack(toWire(frame));
}

function toWire(frame: PeerFrame): WirePeerFrame {
  switch (frame.type) {
    case "message":
      return [0, frame.channel, frame.body];
    case "request":
      return [1, frame.channel, frame.id, frame.body];
    case "reply":
      return [2, frame.id, frame.body];
    case "failure":
      return [3, frame.id, frame.detail];
  }
}
