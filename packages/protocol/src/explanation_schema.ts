import { z } from "zod";

/** Answer of the operators' `GET /explain/<request id>`. */
export const explanationSchema = z.strictObject({
  request: z.string(),
  host: z.string(),
  /** Decisions in order. */
  entries: z.array(z.strictObject({
    time: z.string(),
    /** Settings revision in force at the time. */
    revision: z.number(),
    slice: z.string(),
    decision: z.string(),
    fields: z.record(z.string(), z.unknown()),
  })),
});

/** Decisions about one request. */
export type Explanation = z.infer<typeof explanationSchema>;
