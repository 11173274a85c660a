import { z } from "zod";
import { SETTINGS_LIMITS } from "./constants.ts";
import { settingsDigestSchema } from "./settings_digest_schema.ts";

/** Answer to a message on the `settings` channel. */
export const settingsPageSchema = z.strictObject({
  digest: settingsDigestSchema,
  /** Newest updates of paths that differ, and the accepted ones behind rejected ones. */
  updates: z.array(z.strictObject({
    path: z.string(),
    revision: z.number().int().nonnegative(),
    text: z.string().optional(),
    oversizeBytes: z.number().int().positive().optional(),
  })).max(2 * SETTINGS_LIMITS.maxPageUpdates),
  /** Where the next page begins, when this one was cut. */
  next: z.string().optional(),
});

/** Answer to a message on the `settings` channel. */
export type SettingsPage = z.infer<typeof settingsPageSchema>;
