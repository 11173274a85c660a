import { z } from "zod";

const keySchema = z.string().min(1).max(64);
const upstreamSchema = z.string().min(1).max(256);
const delaySchema = z.number().min(0).max(3_600_000);

/** Messages between a host that requests a permit and the owner of the limit. */
export const permitMessageSchema = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("request"),
    key: keySchema,
    upstream: upstreamSchema,
    startedAt: z.number(),
    priority: z.number(),
    waitMs: delaySchema,
    patientMs: delaySchema,
    /**
     * What the requesting host knows of the limit that the upstream names, so that the owner knows it
     * too; missing without one. Builds of protocol version 0 need it.
     */
    perSecond: z.number().min(0).optional(),
    sentAgeMs: z.number().min(0).optional(),
    receivedAgeMs: z.number().min(0).optional(),
    /** The rate that the upstream withstands while it is cold, and the time left; or missing. */
    coldPerSecond: z.number().positive().optional(),
    coldMs: z.number().positive().optional(),
  }),
  z.object({ type: z.literal("cancel"), key: keySchema, upstream: upstreamSchema }),
  z.object({ type: z.literal("grant"), key: keySchema }),
  z.object({ type: z.literal("wait"), key: keySchema, expectedMs: delaySchema }),
  z.object({
    type: z.literal("refuse"),
    key: keySchema,
    freeInMs: delaySchema,
    retryAfterMs: delaySchema,
  }),
  /** The receiver of the request does not own the limit; it names the host that does. */
  z.object({ type: z.literal("notOwner"), key: keySchema, owner: z.string().max(200) }),
]);

/** A message about a permit. */
export type PermitMessage = z.infer<typeof permitMessageSchema>;
