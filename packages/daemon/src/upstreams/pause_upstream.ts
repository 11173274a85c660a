import type { RandomSource } from "@crocussail/protocol";
import { UPSTREAM_LIMITS } from "./constants.ts";
import type { UpstreamRecord } from "./upstream_record.ts";
import type { UpstreamState } from "./upstream_state.ts";

/** Records that an upstream wants no request from this host; returns whether the pause is new. */
export function pauseUpstream(
  state: Pick<UpstreamState, "pauses">,
  record: Pick<UpstreamRecord, "id" | "startedAt">,
  pauseMs: number,
  nowMs: number,
  random: RandomSource,
): boolean {
  const limitedMs = Math.min(pauseMs, UPSTREAM_LIMITS.maxPauseMs);
  const spreadMs = Math.min(
    UPSTREAM_LIMITS.pauseSpreadMs,
    limitedMs * UPSTREAM_LIMITS.pauseSpreadShare,
  );
  const known = state.pauses.get(record.id);
  const isKnown = known?.startedAt === record.startedAt && known.untilMs > nowMs;
  const untilMs = nowMs + limitedMs + random.nextFloat() * spreadMs;
  state.pauses.set(record.id, {
    startedAt: record.startedAt,
    untilMs: isKnown ? Math.max(untilMs, known.untilMs) : untilMs,
  });
  return !isKnown;
}
