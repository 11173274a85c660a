import { z } from "zod";

/** Summary of a daemon's settings map, carried by every heartbeat. */
export const settingsDigestSchema = z.tuple([
  /** Hash of the whole map. */
  z.string().max(32),
  /** Highest revision held. */
  z.number().int().nonnegative(),
  /** Milliseconds since the map was last confirmed by the service, here or at a peer; -1: never. */
  z.number().int().min(-1),
]);

/** Summary of a daemon's settings map: hash, highest revision, age of the last confirmation. */
export type SettingsDigest = z.infer<typeof settingsDigestSchema>;
