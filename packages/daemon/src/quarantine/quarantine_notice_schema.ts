import { z } from "zod";

const fingerprintSchema = z.string().regex(/^[0-9a-f]{32}$/);

/** Notices that daemons exchange about crashes and quarantined requests. */
export const quarantineNoticeSchema = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("crashed"),
    upstream: z.string().min(1).max(256),
    suspects: z.array(z.object({
      fingerprint: fingerprintSchema,
      /** Tokens that it had produced. */
      tokens: z.number().int().nonnegative(),
    })).max(64),
  }),
  z.object({ type: z.literal("quarantined"), fingerprint: fingerprintSchema }),
  z.object({ type: z.literal("cleared"), fingerprint: fingerprintSchema }),
]);

/** Notice about a crash or about a request that is quarantined or cleared. */
export type QuarantineNotice = z.infer<typeof quarantineNoticeSchema>;
