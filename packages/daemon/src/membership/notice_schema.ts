import { z } from "zod";

/** Notice on the wire: topic, key, origin, remaining lifetime in milliseconds, payload. */
export const noticeSchema = z.tuple([
  z.string().max(64),
  z.string().max(512),
  z.string().max(255),
  z.number().nonnegative(),
  z.unknown(),
]);

/** Notice on the wire. */
export type WireNotice = z.infer<typeof noticeSchema>;
