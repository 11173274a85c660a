import { unpack } from "msgpackr";
import { peerFrameSchema } from "./peer_frame_schema.ts";
import type { PeerFrame } from "./peer_frame_schema.ts";

/** Decodes a frame of a peer; returns undefined when it is malformed. */
export function decodePeerFrame(data: Uint8Array): PeerFrame | undefined {
  try {
    return peerFrameSchema.parse(unpack(data));
  } catch {
    return undefined;
  }
}
