import { unpack } from "msgpackr";
import type { PeerFrame } from "./peer_frame.ts";
import { wirePeerFrameSchema } from "./wire_peer_frame_schema.ts";

/** Decodes a frame of a peer; returns undefined when it is malformed. */
export function decodePeerFrame(data: Uint8Array): PeerFrame | undefined {
  const frame = wirePeerFrameSchema.safeParse(decodeBytes(data)).data;
  // The type numbers are listed at the schema.
  switch (frame?.[0]) {
    case undefined:
      return undefined;
    case 0:
      return { type: "message", channel: frame[1], body: frame[2] };
    case 1:
      return { type: "request", channel: frame[1], id: frame[2], body: frame[3] };
    case 2:
      return { type: "reply", id: frame[1], body: frame[2] };
    case 3:
      return { type: "failure", id: frame[1], detail: frame[2] };
  }
}

function decodeBytes(data: Uint8Array): unknown {
  try {
    return unpack(data);
  } catch {
    return undefined;
  }
}
