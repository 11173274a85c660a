import type { RandomSource } from "@crocussail/protocol";
import { hashHost } from "./hash_host.ts";
import type { HostId } from "./hash_host.ts";
import { MEMBER_STATUS } from "./member_status.ts";
import type { MemberStatus } from "./member_status.ts";
import type { NoticeState } from "./notice_state.ts";

/** Record of another host. */
export interface Member {
  readonly host: string;
  readonly id: HostId;
  incarnation: number;
  counter: number;
  status: MemberStatus;
  /** When the status last changed. */
  changedAtMs: number;
  /** When a suspected member becomes dead. */
  suspicionEndsAtMs: number;
  /** When the last heartbeat of this host arrived. */
  lastHeartbeatMs: number;
  /**
   * Peers suspect this host although its heartbeats arrive here; the host is notified so that it can
   * refute the suspicion.
   */
  isSuspectedByPeers: boolean;
  /** Digest in the last heartbeat of this host. */
  lastDigest: number;
  /** Whether only helpers currently reach this host. */
  isIndirect: boolean;
}

/** A record that still has to be sent to peers. */
export interface QueuedUpdate {
  sendsLeft: number;
  readonly isUrgent: boolean;
}

/** A probe that has no reply yet. */
export interface Probe {
  readonly sentAtMs: number;
  hasHelpers: boolean;
}

/** Whether this daemon trusts its view. */
export interface Freshness {
  isFresh: boolean;
  /** True after a pause of this process; false after its start. */
  isAfterPause: boolean;
  /** When the view was last distrusted: at the start, or at the end of a pause. */
  sinceMs: number;
  /** Peers whose complete view has arrived since then. */
  readonly replies: Set<string>;
}

/** Membership as one daemon sees it. All times are monotonic milliseconds. */
export interface MembershipState {
  readonly host: string;
  readonly id: HostId;
  readonly incarnation: number;
  readonly random: RandomSource;
  readonly startedAtMs: number;
  counter: number;
  status: MemberStatus;
  /** Another process with this host name has replaced this one. */
  isSuperseded: boolean;
  /** The platform's list has been read at least once. */
  hasPublishedList: boolean;
  /** Published hosts except this one; at most `maxMembers`. */
  readonly members: Map<string, Member>;
  readonly hostsById: Map<HostId, string>;
  /** Records to send, by host, longest waiting first; at most one for each host. */
  readonly updates: Map<string, QueuedUpdate>;
  /** Probes without a reply; at most one for each member. */
  readonly probes: Map<string, Probe>;
  neighbours: readonly string[];
  probeCursor: number;
  digest: number;
  /** The digest must be computed again. */
  mustRecomputeDigest: boolean;
  /** The neighbours must be computed again. */
  mustRecomputeNeighbours: boolean;
  lastObservedMs: number;
  nextProbeMs: number;
  nextDeadProbeMs: number;
  lastSyncMs: number;
  lastMatchMs: number;
  wantsSync: boolean;
  /** Neighbours must be notified at once that this daemon refuted a suspicion. */
  wantsRefute: boolean;
  lastRefuteMs: number;
  readonly freshness: Freshness;
  readonly notices: NoticeState;
}

/** Options of {@link createMembershipState}. */
export interface MembershipStateOptions {
  readonly host: string;
  /** 32-bit tag of this process. */
  readonly incarnation: number;
  readonly random: RandomSource;
  readonly nowMs: number;
}

/** Creates the view of a daemon that has just started and knows no other host. */
export function createMembershipState(options: MembershipStateOptions): MembershipState {
  const { host, incarnation, random, nowMs } = options;
  return {
    host,
    id: hashHost(host),
    incarnation,
    random,
    startedAtMs: nowMs,
    counter: 1,
    status: MEMBER_STATUS.alive,
    isSuperseded: false,
    hasPublishedList: false,
    members: new Map(),
    hostsById: new Map(),
    updates: new Map(),
    probes: new Map(),
    neighbours: [],
    probeCursor: 0,
    digest: 0,
    mustRecomputeDigest: true,
    mustRecomputeNeighbours: true,
    lastObservedMs: nowMs,
    nextProbeMs: nowMs,
    nextDeadProbeMs: nowMs,
    lastSyncMs: Number.NEGATIVE_INFINITY,
    lastMatchMs: nowMs,
    wantsSync: true,
    wantsRefute: false,
    lastRefuteMs: Number.NEGATIVE_INFINITY,
    freshness: { isFresh: false, isAfterPause: false, sinceMs: nowMs, replies: new Set() },
    notices: { pending: new Map(), known: new Map() },
  };
}
