import { z } from "zod";

/** One replica of an order's key: a host, its incarnation (process start), and its epoch. */
const keyReplicaSchema = z.strictObject({
  host: z.string().min(1).max(128),
  incarnation: z.string().min(1).max(64),
  epoch: z.number().int().nonnegative(),
});

/**
 * Parsed prefix of an order's idempotency key: the replicas that store the key's record, each on a
 * different host. The fleet creates and signs the prefix, the caller appends its own id.
 */
export const keyPrefixSchema = z.array(keyReplicaSchema).min(1).max(3).refine(
  (replicas) => new Set(replicas.map((replica) => replica.host)).size === replicas.length,
  "two replicas are on the same host",
);

/** Prefix of an order's idempotency key, see {@link keyPrefixSchema}. */
export type KeyPrefix = z.infer<typeof keyPrefixSchema>;

/** One replica of a key prefix, see {@link keyPrefixSchema}. */
export type KeyReplica = KeyPrefix[number];
