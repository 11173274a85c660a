import { z } from "zod";

const percentilesSchema = z.strictObject({
  p50: z.number(),
  p99: z.number(),
  p999: z.number(),
});

/** Result of a load run for one kind of request; times in milliseconds. */
export const loadSummarySchema = z.strictObject({
  kind: z.string(),
  sent: z.number(),
  inTime: z.number(),
  late: z.number(),
  refused: z.number(),
  unknown: z.number(),
  failed: z.number(),
  resumes: z.number(),
  tokens: z.number(),
  tokensLost: z.number(),
  tokensDoubled: z.number(),
  tokensOutOfOrder: z.number(),
  tokensForeign: z.number(),
  ordersDoubled: z.number(),
  durationMs: percentilesSchema,
  firstMs: percentilesSchema,
  gapMs: percentilesSchema,
  /** Number of problems by result code. */
  codes: z.record(z.string(), z.number()),
});

/** Result of a load run for one kind of request. */
export type LoadSummary = z.infer<typeof loadSummarySchema>;
