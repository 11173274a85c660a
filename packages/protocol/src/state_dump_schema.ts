import { z } from "zod";

/** Response of the operators' `GET /state`; the command line parses it too. */
export const stateDumpSchema = z.strictObject({
  host: z.string(),
  dataCentre: z.string(),
  /** Random id of the process; it changes with every restart. */
  incarnation: z.string(),
  ready: z.boolean(),
  /** Size-limited dump of each module by its name. */
  slices: z.record(z.string(), z.unknown()),
});

/** State of one daemon. */
export type StateDump = z.infer<typeof stateDumpSchema>;
