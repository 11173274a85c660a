import type { Clock, Logger, Metrics, RandomSource } from "@crocussail/protocol";
import { z } from "zod";
import type { FleetHosts } from "../fleet_hosts/mod.ts";
import { pauseUpstream, UPSTREAM_LIMITS } from "../upstreams/mod.ts";
import type { Upstream, UpstreamState } from "../upstreams/mod.ts";

/** Options of {@link createPauseNotices}. */
export interface PauseNoticesOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly state: UpstreamState;
  readonly hosts: Pick<FleetHosts, "publishNotice" | "subscribeNotices">;
}

/** Pauses that upstreams ask for. */
export interface PauseNotices {
  /** Records that an upstream wants no request from this host for some time. */
  recordPause(upstream: Upstream, pauseMs: number): void;
}

const TOPIC = "upstreams.pause";
const NOTICE_KEY_BYTES = 8;
const noticeSchema = z.object({ upstream: z.string().min(1).max(256) });

/**
 * Creates the handling of pauses. This host keeps a pause strictly; other hosts are told and prefer
 * other upstreams, because the upstream has not asked them.
 */
export function createPauseNotices(options: PauseNoticesOptions): PauseNotices {
  const { clock, random, logger, metrics, state, hosts } = options;
  hosts.subscribeNotices(TOPIC, ({ payload, ttlMs }) => {
    const parsed = noticeSchema.safeParse(payload);
    if (parsed.success && state.upstreams.has(parsed.data.upstream)) {
      state.pausesElsewhere.set(parsed.data.upstream, clock.readMonotonicMs() + ttlMs);
    }
  });
  return {
    recordPause: ({ record }, pauseMs) => {
      if (!pauseUpstream(state, record, pauseMs, clock.readMonotonicMs(), random)) {
        return;
      }
      logger.writeEvent("upstreamPaused", { upstream: record.id, pauseMs: Math.round(pauseMs) });
      metrics.increment("upstreams.pauses");
      hosts.publishNotice({
        topic: TOPIC,
        key: random.nextHex(NOTICE_KEY_BYTES),
        payload: { upstream: record.id },
        ttlMs: Math.min(pauseMs, UPSTREAM_LIMITS.maxPauseMs),
      });
    },
  };
}
