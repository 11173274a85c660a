import { z } from "zod";

/** Summary of a daemon's settings map, carried by every heartbeat. */
export const settingsDigestSchema = z.tuple([
  /** Hash of the whole map. */
  z.string().max(32),
  /** Highest revision in the map. */
  z.number().int().nonnegative(),
  /** Milliseconds since this host or a peer last confirmed the map with the service; -1: never. */
  z.number().int().min(-1),
]);

/** Summary of a daemon's settings map: hash, highest revision, age of the last confirmation. */
export type SettingsDigest = z.infer<typeof settingsDigestSchema>;
