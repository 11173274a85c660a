import { z } from "zod";

/** One replica that guards a key: host, its process start, and its epoch. */
const keyReplicaSchema = z.strictObject({
  host: z.string().min(1).max(128),
  incarnation: z.string().min(1).max(64),
  epoch: z.number().int().nonnegative(),
});

/** Replicas that a key prefix names; each on a host of its own. */
export const keyPrefixSchema = z.array(keyReplicaSchema).min(1).max(3).refine(
  (replicas) => new Set(replicas.map((replica) => replica.host)).size === replicas.length,
  "replicas share a host",
);

/** Replicas that a key prefix names. */
export type KeyPrefix = z.infer<typeof keyPrefixSchema>;

/** One replica of a key. */
export type KeyReplica = KeyPrefix[number];
