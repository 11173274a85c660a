import { z } from "zod";

/** One frame on a peer link after the handshake, encoded with msgpack. */
export const peerFrameSchema = z.discriminatedUnion("type", [
  z.strictObject({ type: z.literal("message"), channel: z.string(), body: z.unknown() }),
  z.strictObject({
    type: z.literal("request"),
    channel: z.string(),
    id: z.number().int(),
    body: z.unknown(),
  }),
  z.strictObject({ type: z.literal("reply"), id: z.number().int(), body: z.unknown() }),
  z.strictObject({ type: z.literal("failure"), id: z.number().int(), detail: z.string() }),
]);

/** Frame on a peer link. */
export type PeerFrame = z.infer<typeof peerFrameSchema>;
