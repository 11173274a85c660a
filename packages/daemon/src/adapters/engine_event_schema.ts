import { z } from "zod";

/** One event of an engine's stream: either a token, or the finish event after the last token. */
export const engineEventSchema = z.object({
  generation: z.string(),
  /** Position of the token; in the finish event, the number of tokens. */
  index: z.number().int().nonnegative(),
  token: z.string().optional(),
  /** Reason why the generation ended, for example `stop` or `length`. */
  finish: z.string().optional(),
}).refine((event) => (event.token === undefined) !== (event.finish === undefined));

/** Event of an engine's stream. */
export type EngineEvent = z.infer<typeof engineEventSchema>;
