import { z } from "zod";

const addressSchema = z.string().regex(
  /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
  "expected an IPv4 number and a port, for example 10.1.0.19:8740",
);
const addressListSchema = z.string().transform((text, context) => {
  const items = text.split(",").map((item) => item.trim()).filter((item) => item !== "");
  for (const item of items) {
    if (!addressSchema.safeParse(item).success) {
      context.addIssue(`"${item}" is not of the form ip:port`);
    }
  }
  return items;
});
// A missing value has to be told from one that is no number, which z.coerce does not.
const numberSchema = z.string().regex(/\S/, "expected a number").transform(Number);
const portSchema = numberSchema.pipe(z.number().int().min(1).max(65535));
const positiveSchema = numberSchema.pipe(z.number().positive());
const countSchema = numberSchema.pipe(z.number().min(0));

/** Settings file of a daemon that forwards by published routes: one object for each INI section. */
export const gatewayConfigSchema = z.strictObject({
  host: z.strictObject({
    name: z.string().min(1),
    dataCentre: z.string().min(1),
    /** IP number of this host. */
    address: z.ipv4(),
    /** Relative capacity, for example its share of a core. */
    size: positiveSchema.prefault("1"),
  }),
  listen: z.strictObject({
    /** Callers' requests. */
    callers: addressSchema,
    /** The platform's question whether this host is ready. */
    readiness: addressSchema,
    /** Callers' question where to connect. */
    directory: addressSchema,
    /** Reports between hosts, over UDP. */
    peerPort: portSchema,
    metricsPort: portSchema,
  }),
  peers: z.strictObject({
    /** Addresses of some hosts of the fleet; only their IP numbers count. */
    seeds: addressListSchema.prefault(""),
  }).prefault({}),
  fleet: z.strictObject({
    /** Shared secret that signs reports between hosts; at least 32 characters. */
    key: z.string().min(32, "expected at least 32 characters"),
  }),
  settingsService: z.strictObject({
    address: addressSchema,
  }),
  upstreams: z.strictObject({
    /** Time after which no request may go to an upstream that has said that it leaves. */
    drainMs: positiveSchema,
  }),
  retries: z.strictObject({
    /** Repeats for each request. */
    ratio: countSchema,
    /** Repeats in a window that need no request, of the whole fleet. */
    slack: countSchema,
    windowSeconds: positiveSchema,
  }),
  shutdown: z.strictObject({
    /** Time between the order to stop and the end of the process. */
    graceSeconds: positiveSchema,
  }),
  directory: z.strictObject({
    /** Longest time for which callers may keep an answer. */
    maxTtlSeconds: positiveSchema,
  }),
});

/** Checked settings of a gateway. */
export type GatewayConfig = z.infer<typeof gatewayConfigSchema>;
