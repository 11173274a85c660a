import { z } from "zod";

/** Value at `teams/<team>/keys`: one INI section for each API key, stored only as a hash. */
export const teamKeysSchema = z.record(
  z.string(),
  z.strictObject({
    /** SHA-256 of the API key, in hexadecimal. */
    sha256: z.string().regex(/^[0-9a-f]{64}$/),
  }),
);

/** API key hashes of a team by key name. */
export type TeamKeysSettings = z.infer<typeof teamKeysSchema>;
