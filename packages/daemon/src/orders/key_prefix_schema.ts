import { z } from "zod";

/** One replica of a key: host, its incarnation (process start), and its epoch. */
const keyReplicaSchema = z.strictObject({
  host: z.string().min(1).max(128),
  incarnation: z.string().min(1).max(64),
  epoch: z.number().int().nonnegative(),
});

/** Replicas that a key prefix names; each on a different host. */
export const keyPrefixSchema = z.array(keyReplicaSchema).min(1).max(3).refine(
  (replicas) => new Set(replicas.map((replica) => replica.host)).size === replicas.length,
  "two replicas are on the same host",
);

/** Replicas that a key prefix names. */
export type KeyPrefix = z.infer<typeof keyPrefixSchema>;

/** One replica of a key. */
export type KeyReplica = KeyPrefix[number];
