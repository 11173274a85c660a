import { z } from "zod";
import { commaListSchema } from "./comma_list_schema.ts";

/** Value at `models/<model>`: desired state of one model. */
export const modelSchema = z.strictObject({
  version: z.string().min(1),
  adapters: commaListSchema.default([]),
  /** Number of engines that should hold a ready copy. */
  replicas: z.coerce.number().int().min(1).default(1),
  /** Role that engines of this model take. */
  role: z.enum(["mixed", "prefill", "decode"]).default("mixed"),
  /** Largest prompt plus output, in tokens. */
  contextTokens: z.coerce.number().int().positive().default(131072),
});

/** Desired state of a model. */
export type ModelSettings = z.infer<typeof modelSchema>;
