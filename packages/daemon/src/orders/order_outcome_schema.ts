import { z } from "zod";

/** Final outcome of an order, as the replicas store it; immutable once recorded. */
export const orderOutcomeSchema = z.discriminatedUnion("type", [
  /** The service responded. */
  z.strictObject({
    type: z.literal("completed"),
    status: z.number().int(),
    headers: z.record(z.string(), z.string()),
    /** Empty when the body was omitted. */
    body: z.instanceof(Uint8Array),
    isBodyOmitted: z.boolean(),
  }),
  /** Bytes of the call were written, but no complete response was received. */
  z.strictObject({ type: z.literal("unknown"), detail: z.string() }),
  /** A claimant with a majority wrote no byte of the call, and never will. */
  z.strictObject({ type: z.literal("notRun"), detail: z.string() }),
]);

/** Final outcome of an order. */
export type OrderOutcome = z.infer<typeof orderOutcomeSchema>;
