import {
  chooseServiceUpstream,
  computeLocalLoads,
  countRequestsElsewhere,
  listCandidates,
} from "../balancing/mod.ts";
import type { UpstreamCandidate } from "../balancing/mod.ts";
import type { PendingPermit } from "../upstream_limits/mod.ts";
import { isSameIncarnation, listUsableUpstreams } from "../upstreams/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { claimBrittleRoom } from "./claim_brittle_room.ts";
import { claimLimitedUpstream } from "./claim_limited_upstream.ts";
import { computeMaxWait } from "./compute_max_wait.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/** Options of {@link choosePlainUpstream}. */
export interface PlainChoiceOptions {
  /** Ids of the upstreams that have been tried. */
  readonly tried: ReadonlySet<string>;
  readonly receivePending: (pending: PendingPermit) => void;
  /** Whether the request may be handed to another host. */
  readonly canHandOver: boolean;
}

/** The chosen upstream, or why there is none. */
export type PlainChoice =
  | { readonly type: "placed"; readonly upstream: Upstream }
  | { readonly type: "none" }
  /** Only the hosts that own the brittle upstreams may send it. */
  | { readonly type: "elsewhere"; readonly hosts: ReadonlySet<string> }
  /** The brittle upstreams have no room in its time; the caller may return after that time. */
  | { readonly type: "full"; readonly retryAfterMs: number }
  /** All that are left have reached their limits; the caller may return after that time. */
  | { readonly type: "limited"; readonly retryAfterMs: number };

/** Permits granted for upstreams that left meanwhile, after which a request is refused. */
const MAX_LOST_PERMITS = 3;

/**
 * Chooses an upstream for a request of a plain service. One that names a limit is used for what the
 * others have no free slot for, or to see whether its limit still holds, and only with a permit. The
 * request waits for one if there is no other upstream.
 */
export async function choosePlainUpstream(
  context: ForwardingContext,
  request: ForwardedRequest,
  options: PlainChoiceOptions,
): Promise<PlainChoice> {
  const { clock, limits, loads, random } = context;
  const isBrittle = ({ upstream }: UpstreamCandidate) => context.brittle.isBrittle(upstream.record);
  let isTurn = false;
  for (let lostPermits = 0; lostPermits < MAX_LOST_PERMITS; lostPermits++) {
    const nowMs = clock.readMonotonicMs();
    const usable = listUsableUpstreams(context.upstreams, request.service.name, nowMs);
    const all = listCandidates(loads, usable, nowMs)
      .filter(({ upstream, load }) =>
        !options.tried.has(upstream.record.id) && load.inFlight < request.service.maxConnections
      );
    const isFirst = isTurn || context.brittle.countWaiting(request.service.name) === 0;
    const candidates = all.filter((candidate) =>
      !isBrittle(candidate) || (isFirst && context.brittle.hasRoom(candidate.upstream.record))
    );
    if (candidates.length === 0 && all.length > 0) {
      const brittle = await claimBrittleRoom(context, request, all, options.canHandOver);
      if (brittle.type !== "turn") {
        return brittle;
      }
      isTurn = true;
      lostPermits--;
      continue;
    }
    const isLimited = (upstream: Upstream) => limits.getLimit(upstream.record) !== undefined;
    const unlimited = candidates.filter(({ upstream }) => !isLimited(upstream));
    const limited = candidates.filter(({ upstream }) => isLimited(upstream));
    const withRoom = unlimited.filter(({ load, upstream }) =>
      load.inFlight < upstream.record.slots
    );
    const preferred = withRoom.length > 0 || limited.length > 0 ? withRoom : unlimited;
    const choose = (among: readonly UpstreamCandidate[]) => {
      const hosts = context.countHostsSharingRetryBudget();
      const elsewhere = countRequestsElsewhere(hosts, among, computeLocalLoads(loads));
      return chooseServiceUpstream(among, random, elsewhere)?.upstream;
    };
    const chosen = choose(preferred);
    const unconfirmed = limited.filter(({ upstream }) => limits.isUnconfirmed(upstream.record));
    if (chosen !== undefined && unconfirmed.length === 0) {
      return { type: "placed", upstream: chosen };
    }
    if (limited.length === 0) {
      return { type: "none" };
    }
    const canWait = unlimited.length === 0;
    const elapsedMs = nowMs - request.arrivedAtMs;
    const result = await claimLimitedUpstream(context, {
      candidates: (chosen === undefined ? limited : unconfirmed)
        .toSorted((left, right) => left.load.inFlight - right.load.inFlight)
        .map(({ upstream }) => upstream),
      priority: request.priority,
      waitMs: canWait ? Math.max(0, computeMaxWait(request) - elapsedMs) : 0,
      patientMs: canWait ? Math.max(0, request.deadlineAtMs - nowMs - request.route.targetMs) : 0,
      receivePending: options.receivePending,
      hasEnded: request.reply.hasEnded,
    });
    if (result.type === "refused") {
      const other = chosen ?? choose(unlimited);
      if (other === undefined) {
        return { type: "limited", retryAfterMs: result.retryAfterMs };
      }
      if (isLimited(other)) {
        continue; // it has become cold while the owner of the other limit was asked
      }
      return { type: "placed", upstream: other };
    }
    const { record } = result.upstream;
    const still = listUsableUpstreams(
      context.upstreams,
      request.service.name,
      clock.readMonotonicMs(),
    );
    if (still.some((upstream) => isSameIncarnation(upstream.record, record))) {
      return { type: "placed", upstream: result.upstream };
    }
  }
  return { type: "none" };
}
