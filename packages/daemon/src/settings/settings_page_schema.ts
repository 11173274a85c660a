import { z } from "zod";
import { SETTINGS_LIMITS } from "./constants.ts";
import { settingsDigestSchema } from "./settings_digest_schema.ts";

/**
 * Response to a message on the `settings` channel: the responder's digest, and as many of the
 * requested updates as fit into one page.
 */
export const settingsPageSchema = z.strictObject({
  digest: settingsDigestSchema,
  /** Newest update of each selected path; if it was rejected, also the newest accepted one. */
  updates: z.array(z.strictObject({
    path: z.string(),
    revision: z.number().int().nonnegative(),
    text: z.string().optional(),
    oversizeBytes: z.number().int().positive().optional(),
  })).max(2 * SETTINGS_LIMITS.maxPageUpdates),
  /**
   * Path after which the next page begins; absent unless this page of differing buckets was
   * truncated.
   */
  next: z.string().optional(),
});

/** Page described by {@link settingsPageSchema}. */
export type SettingsPage = z.infer<typeof settingsPageSchema>;
