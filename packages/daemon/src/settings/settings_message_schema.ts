import { z } from "zod";
import { SETTINGS_LIMITS } from "./constants.ts";
import { settingsDigestSchema } from "./settings_digest_schema.ts";

const BUCKET_BYTES = 8;

/** Message on the `settings` channel. */
export const settingsMessageSchema = z.discriminatedUnion("kind", [
  /** Requests the digest; it is returned in a page (see `settingsPageSchema`) without updates. */
  z.strictObject({ kind: z.literal("ask") }),
  /** Sends a digest to a peer whose last digest had a lower revision. */
  z.strictObject({ kind: z.literal("offer"), digest: settingsDigestSchema }),
  /**
   * Requests updates that the sender lacks; the response is a page of those above `known`, or, if
   * there are none, of the paths whose bucket differs from that in `buckets`.
   */
  z.strictObject({
    kind: z.literal("pull"),
    /** Highest revision that the sender has. */
    known: z.number().int().nonnegative(),
    /**
     * The sender's hashes, one for each bucket (a group of paths, see `SETTINGS_LIMITS.buckets`);
     * absent if it requests only higher revisions.
     */
    buckets: z.custom<Uint8Array>(
      (bytes) =>
        bytes instanceof Uint8Array && bytes.length === SETTINGS_LIMITS.buckets * BUCKET_BYTES,
      "expected one hash for each bucket",
    ).optional(),
    /** Last path of the previous page, if that page was truncated. */
    after: z.string().optional(),
  }),
]);

/** Message on the `settings` channel. */
export type SettingsMessage = z.infer<typeof settingsMessageSchema>;
