import { z } from "zod";

/** Answer of the operators' `GET /state`, the same for the command line. */
export const stateDumpSchema = z.strictObject({
  host: z.string(),
  dataCentre: z.string(),
  /** Random id of the process; a restart gets another. */
  incarnation: z.string(),
  ready: z.boolean(),
  /** Bounded dump of each slice by its name. */
  slices: z.record(z.string(), z.unknown()),
});

/** State of one daemon. */
export type StateDump = z.infer<typeof stateDumpSchema>;
