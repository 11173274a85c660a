import { z } from "zod";
import { SETTINGS_LIMITS } from "./constants.ts";
import { settingsDigestSchema } from "./settings_digest_schema.ts";

const BUCKET_BYTES = 8;

/** Message on the `settings` channel. */
export const settingsMessageSchema = z.discriminatedUnion("kind", [
  /** Asks for the digest; answered by a page without updates. */
  z.strictObject({ kind: z.literal("ask") }),
  /** Offers a digest to a peer that seems to be behind. */
  z.strictObject({ kind: z.literal("offer"), digest: settingsDigestSchema }),
  /** Asks for what differs; answered by a page. */
  z.strictObject({
    kind: z.literal("pull"),
    /** Highest revision that the asking daemon holds. */
    known: z.number().int().nonnegative(),
    /** Hashes of its buckets; absent when only higher revisions are wanted. */
    buckets: z.custom<Uint8Array>(
      (bytes) =>
        bytes instanceof Uint8Array && bytes.length === SETTINGS_LIMITS.buckets * BUCKET_BYTES,
      "expected one hash for each bucket",
    ).optional(),
    /** Last path of the page before, when it was cut. */
    after: z.string().optional(),
  }),
]);

/** Message on the `settings` channel. */
export type SettingsMessage = z.infer<typeof settingsMessageSchema>;
