import { z } from "zod";

/** Message on the `notices` channel. */
export const noticeSchema = z.strictObject({
  topic: z.string().max(64),
  key: z.string().max(512),
  origin: z.string().max(255),
  payload: z.unknown(),
  ttlMs: z.number().nonnegative(),
});
