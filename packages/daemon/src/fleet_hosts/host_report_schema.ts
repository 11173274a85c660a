import { z } from "zod";
import { HOST_LIMITS } from "./constants.ts";

const addressSchema = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/);

/** State that a host reports to the others; always sent whole, so a lost datagram only adds delay. */
export const hostReportSchema = z.object({
  host: z.string().min(1).max(200),
  /** Random for each process start. */
  incarnation: z.string().max(32),
  /** Increases with each report of an incarnation. */
  sequence: z.number().int(),
  /** Time until the host's next regular report, in milliseconds. */
  intervalMs: z.number().int().positive().max(60_000),
  dataCentre: z.string().max(200),
  /** Where callers connect, `ip:port`. */
  callerAddress: addressSchema,
  /** Where other hosts send reports, `ip:port`. */
  peerAddress: addressSchema,
  /** Relative capacity. */
  size: z.number().positive(),
  isReady: z.boolean(),
  /** The host accepts no new callers and stops after its last request. */
  isLeaving: z.boolean(),
  /** Version of the published settings that are active on the host; 0 when there are none. */
  settingsVersion: z.number().int().min(0),
  /** How often the settings service has come back from an older copy, as far as the host knows. */
  settingsEra: z.number().int().min(0),
  /** Hosts that this host lists as live, itself included: in the fleet and in its data centre. */
  knownHosts: z.number().int().min(1),
  knownInDataCentre: z.number().int().min(1),
  /**
   * Milliseconds since this host read the changes of upstreams from the settings service, all of
   * which its reports contain; null if it does not read them often.
   */
  upstreamsAgeMs: z.number().min(0).nullable(),
  /**
   * In-flight requests of this host by upstream: upstream id, number of requests, tokens in the KV
   * cache, prompt tokens being processed.
   */
  loads: z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])).max(512),
  /**
   * Observed performance by upstream: id, prompt tokens processed per millisecond, milliseconds
   * between tokens (both 0 if nothing was observed), share of failures. Null in an additional report
   * between the regular ones, which means unchanged.
   */
  conduct: z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])).max(512).nullable(),
  /**
   * Upstreams that are draining: id, start, and whether the host infers this only from the absence of
   * the upstream's record.
   */
  leaving: z.array(z.tuple([z.string(), z.number(), z.boolean()]))
    .max(HOST_LIMITS.maxReportedLeaving),
  /**
   * Upstreams that have joined: id, service, address, data centre, slots, duration of the slow start
   * in milliseconds, start.
   */
  joined: z.array(z.tuple([
    z.string(),
    z.string(),
    z.string(),
    z.string(),
    z.number(),
    z.number(),
    z.number(),
  ])).max(64),
  /**
   * Limits of upstreams, as the host observed or as it owns them: id, start, requests a second or
   * null when it has ended, and the times since the request was sent and the response received.
   */
  limits: z.array(z.tuple([
    z.string(),
    z.number(),
    z.number().min(0).nullable(),
    z.number().min(0),
    z.number().min(0),
  ])).max(64),
  /**
   * Upstreams that fall over when they refuse too many requests: id, start, the refusals a second or
   * null when that has ended, and times as in `limits`.
   */
  brittle: z.array(z.tuple([
    z.string(),
    z.number(),
    z.number().min(0).nullable(),
    z.number().min(0),
    z.number().min(0),
  ])).max(64),
  /** Names of the services whose upstreams the host does not reach. */
  unreachableServices: z.array(z.string().max(200)).max(HOST_LIMITS.maxReportedServices),
  /** Notices for all hosts: topic, key, remaining lifetime in milliseconds, unvalidated payload. */
  notices: z.array(z.tuple([
    z.string().max(64),
    z.string().max(64),
    z.number().positive().max(3_600_000),
    z.unknown(),
  ])).max(HOST_LIMITS.maxReportNotices),
  /** Peer addresses of some other hosts, for hosts that know only a few. */
  peers: z.array(addressSchema).max(64),
  /** What the build of the host knows; 0 for builds whose reports end with `peers`. */
  protocolVersion: z.number().int().min(0).default(0),
  /**
   * Evacuations of data centres as the host knows them: data centre, era and revision of the last
   * change, and whether it is evacuated.
   */
  evacuations: z.array(z.tuple([
    z.string().max(200),
    z.number().int().min(0),
    z.number().int().min(0),
    z.boolean(),
  ])).max(HOST_LIMITS.maxReportedEvacuations).default([]),
  /** Cold upstreams: id, start, and milliseconds for which they stay cold. */
  cold: z.array(z.tuple([z.string(), z.number(), z.number().min(0)]))
    .max(HOST_LIMITS.maxReportedCold).default([]),
  /**
   * Requests that wait for room: service, priority, their number, the KV cache in tokens that the
   * first one needs, and milliseconds since it arrived.
   */
  waiting: z.array(z.tuple([
    z.string().max(200),
    z.number(),
    z.number().int().min(0),
    z.number().min(0),
    z.number().min(0),
  ])).max(HOST_LIMITS.maxReportedWaiting).default([]),
});

/** A report of one host. */
export type HostReport = z.infer<typeof hostReportSchema>;
