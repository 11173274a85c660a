import { z } from "zod";

/** Payload of the notices that an upstream is draining or accepts requests again. */
export const leavingNoticeSchema = z.strictObject({
  upstream: z.string().min(1).max(255),
  isLeaving: z.boolean(),
});
