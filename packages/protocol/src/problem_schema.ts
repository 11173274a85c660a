import { z } from "zod";

/** Body of an `application/problem+json` response. */
export const problemSchema = z.looseObject({
  type: z.string(),
  title: z.string(),
  status: z.number().int(),
  detail: z.string(),
  /** Number from the result code table. */
  code: z.number().int(),
  ran: z.enum(["no", "yes", "unknown"]),
  advice: z.string(),
  /** Milliseconds after which a retry is useful. */
  retry_after_ms: z.number().optional(),
});

/** Problem document sent to callers. */
export type Problem = z.infer<typeof problemSchema>;
