import { z } from "zod";
import { PROMPT_PART_DEFAULTS } from "./prompt_part_defaults.ts";

const partSchema = z.string().min(1).max(100);
const ageSchema = z.number().nonnegative();
const maxParts = PROMPT_PART_DEFAULTS.maxPartsOfCrash;

/** Notices that hosts exchange about prompt parts. */
export const promptPartNoticeSchema = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("crashed"),
    /** Id and start of the upstream. */
    upstream: z.string().min(1).max(256),
    /** Parts of the requests in their first steps, each with its position in the prompt. */
    parts: z.array(z.tuple([partSchema, z.number().int().nonnegative()])).max(maxParts),
  }),
  z.object({
    type: z.literal("sound"),
    /** Parts and the time since their last sound execution, in milliseconds. */
    parts: z.array(z.tuple([partSchema, ageSchema])).max(maxParts),
  }),
  z.object({ type: z.literal("quarantined"), part: partSchema }),
]);

/** Notice about a crash, about sound executions, or about a quarantined part. */
export type PromptPartNotice = z.infer<typeof promptPartNoticeSchema>;
