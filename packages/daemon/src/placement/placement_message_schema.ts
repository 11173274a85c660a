import { z } from "zod";

const nameSchema = z.string().min(1).max(255);

/** Message on the `placement` channel. */
export const placementMessageSchema = z.discriminatedUnion("kind", [
  /** Asks for a promise to support the sender as slot owner of a data centre. */
  z.strictObject({ kind: z.literal("vote"), dataCentre: nameSchema }),
  /** Asks the slot owner for a load. */
  z.strictObject({ kind: z.literal("slot"), dataCentre: nameSchema, engine: nameSchema }),
  /** Tells the slot owner that a load has ended. */
  z.strictObject({
    kind: z.literal("release"),
    dataCentre: nameSchema,
    engine: nameSchema,
    lease: z.number().int().positive(),
  }),
  /** Asks whether an order would be derived from the newest settings by the right owner. */
  z.strictObject({ kind: z.literal("confirm"), engine: nameSchema }),
]);

/** Message on the `placement` channel. */
export type PlacementMessage = z.infer<typeof placementMessageSchema>;
