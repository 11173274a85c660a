import { z } from "zod";

const MAX_NAME_LENGTH = 255;
const MAX_RENEWALS = 256;
const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);
const countSchema = z.number().nonnegative();

/** Wire form of a queue entry. Times are relative because the hosts' clocks differ. */
const entrySchema = z.strictObject({
  id: nameSchema,
  team: nameSchema,
  kind: nameSchema,
  model: nameSchema,
  urgency: z.number().int().min(0).max(9),
  weight: z.number().positive(),
  promptTokens: countSchema,
  maxTokens: countSchema.optional(),
  tokenGapMs: z.number().positive(),
  waitedMs: countSchema,
  remainingMs: z.number(),
});

/** Messages on the `admission` channel. */
export const admissionMessageSchema = z.discriminatedUnion("type", [
  /** Entry daemon to owner, with a reply: requests a place or keeps the one it has. */
  z.strictObject({ type: z.literal("ask"), upstream: nameSchema, entry: entrySchema }),
  /** Entry daemon to owner: ids and produced tokens of its grants, which renews their leases. */
  z.strictObject({
    type: z.literal("renew"),
    upstream: nameSchema,
    grants: z.array(z.tuple([nameSchema, countSchema])).max(MAX_RENEWALS),
  }),
  /** Owner to entry daemon: ids of renewed grants that it does not know. */
  z.strictObject({
    type: z.literal("unknown"),
    upstream: nameSchema,
    ids: z.array(nameSchema).max(MAX_RENEWALS),
  }),
  /** Entry daemon to owner: full entries of grants that the owner does not know. */
  z.strictObject({
    type: z.literal("adopt"),
    upstream: nameSchema,
    grants: z.array(z.strictObject({ entry: entrySchema, produced: countSchema }))
      .max(MAX_RENEWALS),
  }),
  /** Entry daemon to owner: the place or grant is no longer needed. */
  z.strictObject({
    type: z.literal("release"),
    upstream: nameSchema,
    id: nameSchema,
    /** Tokens of a complete response. */
    produced: countSchema.optional(),
    /** The engine did not execute the generation, or lost it. */
    isRefused: z.boolean(),
  }),
  /** Owner to entry daemon: a waiting entry is granted. */
  z.strictObject({ type: z.literal("granted"), upstream: nameSchema, id: nameSchema }),
  /** Owner to entry daemon: a waiting entry is refused. */
  z.strictObject({
    type: z.literal("refused"),
    upstream: nameSchema,
    id: nameSchema,
    reason: z.enum(["late", "full", "leaving", "tooLarge"]),
    retryAfterMs: countSchema,
  }),
]);

/** Message on the `admission` channel. */
export type AdmissionMessage = z.infer<typeof admissionMessageSchema>;
/** Wire form of a queue entry. */
export type EntryMessage = z.infer<typeof entrySchema>;
