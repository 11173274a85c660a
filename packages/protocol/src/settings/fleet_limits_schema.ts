import { z } from "zod";

/** Value at `fleet/limits`: limits that apply to every daemon. */
export const fleetLimitsSchema = z.strictObject({
  maxBodyBytes: z.coerce.number().int().positive().default(1_048_576),
  /** Time for which callers may cache a response of `GET /v1/entry`, in milliseconds. */
  entryTtlMs: z.coerce.number().int().positive().default(30_000),
  /** Concurrent model loads from the weight store in one data centre. */
  weightStoreSlots: z.coerce.number().int().positive().default(2),
  /** Retries by the daemon, as a share of the requests. */
  retryBudgetRatio: z.coerce.number().min(0).max(1).default(0.1),
});

/** Limits that apply to every daemon. */
export type FleetLimitsSettings = z.infer<typeof fleetLimitsSchema>;
