import { z } from "zod";

/** One event of an engine's stream: a token, or the finish after the last one, never both. */
export const engineEventSchema = z.object({
  generation: z.string(),
  /** Position of the token; the finish event carries the number of tokens. */
  index: z.number().int().nonnegative(),
  token: z.string().optional(),
  /** Reason of the end, for example `stop` or `length`. */
  finish: z.string().optional(),
}).refine((event) => (event.token === undefined) !== (event.finish === undefined));

/** Event of an engine's stream. */
export type EngineEvent = z.infer<typeof engineEventSchema>;
