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
  /** When the state last changed. */
  changedAtMs: number;
  /** When a suspicion becomes a death. */
  suspicionEndsMs: number;
  /** When a message of this host last arrived. */
  heardAtMs: number;
  /** Others doubt a host that this daemon hears; the host is told so that it can refute. */
  isDoubted: boolean;
  /** Digest in the last message of this host. */
  lastDigest: number;
  /** Set while only helpers reach this host. */
  isIndirect: boolean;
}

/** A record that is still passed on. */
export interface QueuedUpdate {
  sendsLeft: number;
  readonly isUrgent: boolean;
}

/** A probe without a reply yet. */
export interface Probe {
  readonly sentAtMs: number;
  hasHelpers: boolean;
}

/** How far this daemon trusts its view. */
export interface Freshness {
  isFresh: boolean;
  /** Distrusted because of a pause, not because of the start. */
  isWoken: boolean;
  sinceMs: number;
  /** Peers whose whole view arrived since. */
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
  /** Another process of this host name has taken its place. */
  isSuperseded: boolean;
  /** The platform's list has been read at least once. */
  hasList: boolean;
  /** Published hosts but this one; bounded by `maxMembers`. */
  readonly members: Map<string, Member>;
  readonly hostsById: Map<HostId, string>;
  /** Records still passed on, by host, in order of waiting; at most one each. */
  readonly updates: Map<string, QueuedUpdate>;
  /** Probes without a reply; at most one for each member. */
  readonly probes: Map<string, Probe>;
  neighbours: readonly string[];
  cursor: number;
  digest: number;
  /** The digest must be computed again. */
  isDirty: boolean;
  /** The neighbours must be computed again. */
  isRingDirty: boolean;
  lastSeenMs: number;
  nextProbeMs: number;
  nextDeadProbeMs: number;
  lastSyncMs: number;
  lastMatchMs: number;
  wantsSync: boolean;
  /** Neighbours must hear at once that this daemon refuted a doubt. */
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
    hasList: false,
    members: new Map(),
    hostsById: new Map(),
    updates: new Map(),
    probes: new Map(),
    neighbours: [],
    cursor: 0,
    digest: 0,
    isDirty: true,
    isRingDirty: true,
    lastSeenMs: nowMs,
    nextProbeMs: nowMs,
    nextDeadProbeMs: nowMs,
    lastSyncMs: Number.NEGATIVE_INFINITY,
    lastMatchMs: nowMs,
    wantsSync: true,
    wantsRefute: false,
    lastRefuteMs: Number.NEGATIVE_INFINITY,
    freshness: { isFresh: false, isWoken: false, sinceMs: nowMs, replies: new Set() },
    notices: { pending: new Map(), known: new Map() },
  };
}
