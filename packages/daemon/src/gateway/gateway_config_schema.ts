import { z } from "zod";

const addressSchema = z.string().regex(
  /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
  "expected an IPv4 address and a port, for example 10.1.0.19:8740",
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
// Not z.coerce.number(): its error for a missing value would say that it is not a number.
const numberSchema = z.string().regex(/\S/, "expected a number").transform(Number);
const portSchema = numberSchema.pipe(z.number().int().min(1).max(65535));
const positiveSchema = numberSchema.pipe(z.number().positive());
/** A positive number; the default also stands for an empty value. */
const optionalPositiveSchema = (byDefault: number) =>
  z.string().prefault("").transform((text) => text.trim() === "" ? byDefault : Number(text))
    .pipe(z.number().positive());
const nonNegativeSchema = numberSchema.pipe(z.number().min(0));

/** Configuration file of a gateway: one object for each INI section. */
export const gatewayConfigSchema = z.strictObject({
  host: z.strictObject({
    name: z.string().min(1),
    dataCentre: z.string().min(1),
    /** IP address of this host. */
    address: z.ipv4(),
    /** Capacity relative to other hosts, for example the share of a core that it may use. */
    size: positiveSchema.prefault("1"),
    /** Speed of its processor relative to other hosts; multiplies the size. */
    speed: positiveSchema.prefault("1"),
    /** Memory of this host, in MB. */
    memoryMb: optionalPositiveSchema(200),
    /** Descriptors that its process may open. */
    fileDescriptors: optionalPositiveSchema(4_096),
  }),
  listen: z.strictObject({
    /** Receives callers' requests. */
    callers: addressSchema,
    /** Serves the platform's readiness checks. */
    readiness: addressSchema,
    /** Serves the addresses that callers connect to. */
    directory: addressSchema,
    /** Port between hosts: UDP for reports, TCP for requests that are handed over. */
    peerPort: portSchema,
    metricsPort: portSchema,
  }),
  peers: z.strictObject({
    /** Addresses of some hosts of the fleet; their ports are ignored. */
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
    /** Time for which requests may still be sent to an upstream that announced its draining. */
    drainMs: positiveSchema,
  }),
  retries: z.strictObject({
    /** Retries allowed in a window, as a share of the host's requests to the service in it. */
    ratio: nonNegativeSchema,
    /** Retries allowed to the whole fleet in a window, independent of the number of requests. */
    slack: nonNegativeSchema,
    windowSeconds: positiveSchema,
  }),
  shutdown: z.strictObject({
    /** Time between the stop signal and the end of the process. */
    graceSeconds: positiveSchema,
  }),
  directory: z.strictObject({
    /** Longest time for which callers may cache a directory response. */
    maxTtlSeconds: positiveSchema,
  }),
});

/** Validated configuration of a gateway. */
export type GatewayConfig = z.infer<typeof gatewayConfigSchema>;
