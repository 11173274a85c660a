import { z } from "zod";
import { noticeSchema } from "./notice_schema.ts";

const uint32Schema = z.number().int().min(0).max(0xffffffff);
const MAX_FLAT_UPDATES = 4 * 4_096;
const MAX_NOTICES = 256;
const MAX_PAYLOADS = 32;

/**
 * Heartbeat on the wire as a compact array: incarnation, counter, status (plus 8 while the sender
 * does not trust its view after a pause), digest, updates (four numbers each), notices, payloads
 * (name and value each).
 */
export const heartbeatSchema = z.tuple([
  uint32Schema,
  uint32Schema,
  z.number().int().min(0).max(15),
  uint32Schema,
  z.array(uint32Schema).max(MAX_FLAT_UPDATES),
  z.array(noticeSchema).max(MAX_NOTICES),
  z.array(z.unknown()).max(2 * MAX_PAYLOADS),
]);

/** Heartbeat on the wire. */
export type WireHeartbeat = z.infer<typeof heartbeatSchema>;
