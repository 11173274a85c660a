import { z } from "zod";
import { commaListSchema } from "./comma_list_schema.ts";
import { flagSchema } from "./flag_schema.ts";

/** Value at `upstreams/<upstream>`: a model engine or a plain service. */
export const upstreamSchema = z.strictObject({
  kind: z.enum(["engine", "service"]),
  /** Base URL, with an IP address as its host. */
  url: z.url({ protocol: /^https?$/ }),
  dataCentre: z.string().min(1),
  state: z.enum(["live", "leaving"]).default("live"),
  /** Name of the plain service this upstream serves; services only. */
  service: z.string().optional(),
  /** Models the engine may hold; engines only. */
  models: commaListSchema.optional(),
  /** Memory for running generations, in tokens; engines only. */
  capacityTokens: z.coerce.number().int().positive().optional(),
  /** Largest number of generations run in one batch; engines only. */
  maxBatch: z.coerce.number().int().positive().default(32),
  /** Whether the engine refuses placement orders with an old fencing token. */
  checksFencing: flagSchema.default(false),
});

/** Upstream as published by the platform. */
export type UpstreamSettings = z.infer<typeof upstreamSchema>;
