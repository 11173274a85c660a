import { z } from "zod";

const channelSchema = z.string().max(64);
const idSchema = z.number().int();

/**
 * Frame on the wire: an array whose first element is the type: 0 is a message, 1 a request, 2 a
 * reply and 3 a failure.
 */
export const wirePeerFrameSchema = z.union([
  z.tuple([z.literal(0), channelSchema, z.unknown()]),
  z.tuple([z.literal(1), channelSchema, idSchema, z.unknown()]),
  z.tuple([z.literal(2), idSchema, z.unknown()]),
  z.tuple([z.literal(3), idSchema, z.string()]),
]);

/** Frame on the wire. */
export type WirePeerFrame = z.infer<typeof wirePeerFrameSchema>;
