import { z } from "zod";

/** Value at `hosts/<host>`: one entry of the platform's list of hosts. */
export const hostSchema = z.strictObject({
  /** IP address that callers and peers connect to. */
  address: z.union([z.ipv4(), z.ipv6()], { error: "expected an IP address" }),
  callerPort: z.coerce.number().int().min(1).max(65535),
  peerPort: z.coerce.number().int().min(1).max(65535),
  dataCentre: z.string().min(1),
  /** Relative capacity of the host; 1 is the smallest. */
  size: z.coerce.number().positive().max(1000).default(1),
  state: z.enum(["live", "leaving"]).default("live"),
});

/** Host as published by the platform. */
export type HostSettings = z.infer<typeof hostSchema>;
