import { z } from "zod";
import { noticeSchema } from "./notice_schema.ts";

const uint32Schema = z.number().int().min(0).max(0xffffffff);
const MAX_FLAT_UPDATES = 4 * 4_096;
const MAX_NOTICES = 256;
const MAX_RIDERS = 32;

/**
 * Heartbeat on the wire, in short arrays: incarnation, counter, status (8 added while the sender
 * distrusts its view), digest, updates (four numbers each), notices, riders (name and payload each).
 */
export const heartbeatSchema = z.tuple([
  uint32Schema,
  uint32Schema,
  z.number().int().min(0).max(15),
  uint32Schema,
  z.array(uint32Schema).max(MAX_FLAT_UPDATES),
  z.array(noticeSchema).max(MAX_NOTICES),
  z.array(z.unknown()).max(2 * MAX_RIDERS),
]);

/** Heartbeat on the wire. */
export type WireHeartbeat = z.infer<typeof heartbeatSchema>;
