import { z } from "zod";
import { seedListSchema } from "./seed_list_schema.ts";

const portSchema = z.coerce.number().int().min(0).max(65535);
const ipSchema = z.union([z.ipv4(), z.ipv6()], { error: "expected an IP address" });

/** Settings file of one daemon: one object for each INI section. */
export const daemonConfigSchema = z.strictObject({
  host: z.strictObject({
    /** Name under which the platform lists this host. */
    name: z.string().min(1),
    dataCentre: z.string().min(1),
    /** Relative capacity of the host; 1 is the smallest. */
    size: z.coerce.number().positive().default(1),
  }),
  listen: z.strictObject({
    address: ipSchema,
    callerPort: portSchema,
    peerPort: portSchema,
    operatorAddress: ipSchema.default("127.0.0.1"),
    operatorPort: portSchema,
  }),
  settingsService: z.strictObject({
    /** Base URLs, separated by commas and tried in order. */
    urls: z.string().min(1).transform((text) => text.split(",").map((url) => url.trim())),
  }),
  peers: z.strictObject({
    /** Peers that can be reached before the published hosts are known; a few live ones suffice. */
    seeds: seedListSchema.prefault(""),
  }).prefault({}),
  fleet: z.strictObject({
    /** Shared secret of the fleet; at least 32 characters. */
    key: z.string().min(32),
    /** Previous key, still accepted during a key rotation. */
    previousKey: z.string().min(32).optional(),
  }),
  operator: z.strictObject({ token: z.string().min(16) }),
  tls: z.strictObject({ certificateFile: z.string(), keyFile: z.string() }).optional(),
  metrics: z.strictObject({ host: ipSchema, port: portSchema.default(8125) }).optional(),
});

/** Validated settings of one daemon. */
export type DaemonConfig = z.infer<typeof daemonConfigSchema>;
