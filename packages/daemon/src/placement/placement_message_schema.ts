import { z } from "zod";

const nameSchema = z.string().min(1).max(255);

/** Message on the `placement` channel. */
export const placementMessageSchema = z.discriminatedUnion("kind", [
  /** Requests a promise to accept only the sender as slot owner of a data centre. */
  z.strictObject({ kind: z.literal("vote"), dataCentre: nameSchema }),
  /** Requests a load slot from the slot owner. */
  z.strictObject({ kind: z.literal("slot"), dataCentre: nameSchema, engine: nameSchema }),
  /** Notifies the slot owner that a load has ended. */
  z.strictObject({
    kind: z.literal("release"),
    dataCentre: nameSchema,
    engine: nameSchema,
    lease: z.number().int().positive(),
  }),
  /** Queries the settings revision of a peer and the owner that it computes for the engine. */
  z.strictObject({ kind: z.literal("confirm"), engine: nameSchema }),
]);

/** Message on the `placement` channel. */
export type PlacementMessage = z.infer<typeof placementMessageSchema>;
