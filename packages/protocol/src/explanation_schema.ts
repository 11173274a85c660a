import { z } from "zod";

/** Response of the operators' `GET /explain/<request id>`. */
export const explanationSchema = z.strictObject({
  request: z.string(),
  host: z.string(),
  /** Decisions in order. */
  entries: z.array(z.strictObject({
    time: z.string(),
    /** Settings revision that was active at that time. */
    revision: z.number(),
    slice: z.string(),
    decision: z.string(),
    fields: z.record(z.string(), z.unknown()),
  })),
});

/** Decisions about one request. */
export type Explanation = z.infer<typeof explanationSchema>;
