import { z } from "zod";

/** What a key prefix names: the replicas that guard the key. */
export const keyPrefixSchema = z.strictObject({
  replicas: z.array(z.strictObject({ host: z.string(), incarnation: z.string() })).min(1).max(3),
});

/** Content of a key prefix. */
export type KeyPrefix = z.infer<typeof keyPrefixSchema>;
