import { z } from "zod";

const addressSchema = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/);

/** What a host tells the others of itself; sent whole, so that a lost datagram costs only time. */
export const hostReportSchema = z.object({
  host: z.string().min(1).max(200),
  /** Random for each process start. */
  incarnation: z.string().max(32),
  /** Rises with each report of an incarnation. */
  sequence: z.number().int(),
  /** Time until its next regular report, in milliseconds. */
  intervalMs: z.number().int().positive().max(60_000),
  dataCentre: z.string().max(200),
  /** Where callers connect, `ip:port`. */
  callerAddress: addressSchema,
  /** Where other hosts send reports, `ip:port`. */
  peerAddress: addressSchema,
  /** Relative capacity. */
  size: z.number().positive(),
  isReady: z.boolean(),
  /** Takes no new callers and ends with its last request. */
  isLeaving: z.boolean(),
  /** Revision of the published settings in force here; 0 when none are. */
  settingsRevision: z.number().int().min(0),
  /** Own flights by upstream: id, flights, memory tokens, tokens being read. */
  loads: z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])).max(512),
  /**
   * Seen of upstreams: id, tokens read in a millisecond, milliseconds between tokens (both 0 where
   * nothing was seen), share of failures. Null in a report between the regular ones: as before.
   */
  conduct: z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])).max(512).nullable(),
  /** Upstreams that leave: id, start, and whether this host only misses the record. */
  leaving: z.array(z.tuple([z.string(), z.number(), z.boolean()])).max(128),
  /** News for all hosts: topic, key, time for which it holds in milliseconds, unchecked content. */
  notices: z.array(z.tuple([
    z.string().max(64),
    z.string().max(64),
    z.number().positive().max(3_600_000),
    z.unknown(),
  ])).max(8),
  /** Some other hosts' peer addresses, for those that know few. */
  peers: z.array(addressSchema).max(64),
});

/** A report of one host. */
export type HostReport = z.infer<typeof hostReportSchema>;
