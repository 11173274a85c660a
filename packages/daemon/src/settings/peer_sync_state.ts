import { SETTINGS_LIMITS } from "./constants.ts";
import type { SettingsDigest } from "./settings_digest_schema.ts";
import type { SettingsEffect } from "./settings_effect.ts";

/** Decides which peers to request digests from, pull from and offer to. */
export interface PeerSyncState {
  observeDigest(from: string, digest: SettingsDigest): void;
  /** Records that a request for the digest of `from` failed. */
  observeDigestFailure(from: string): void;
  /** Records the end of a pull. */
  observePull(from: string, result: PullResult, localHash: string): void;
  observePullFailure(from: string, localHash: string): void;
  /** Chooses pulls and offers for the peers whose last digest differs from the local one. */
  decideExchange(localDigest: SettingsDigest): SettingsEffect[];
  /** Requests digests from randomly chosen peers, up to `startupPeers` in total. */
  decideDigestRequests(peers: readonly string[], nextFloat: () => number): SettingsEffect[];
  /** Returns whether each digest request has failed or its exchange has finished. */
  isCaughtUp(localHash: string): boolean;
  countDigestRequests(): number;
  /** Discards the digest requests made so far, so that peers are queried again. */
  resetDigestRequests(): void;
  dumpState(): Readonly<Record<string, unknown>>;
}

/** Result of a pull. */
export interface PullResult {
  /** Whether it changed the local map. */
  readonly isProductive: boolean;
  /** Path after which the next page begins; absent unless this page was truncated. */
  readonly next?: string | undefined;
}

interface TrackedPeer {
  digest?: SettingsDigest;
  /** Local hash and peer's hash when the last exchange ended; unset before. */
  finishedHashes?: string;
  /** Local hash that was last offered to the peer. */
  offeredHash?: string;
  /** Whether the peer has sent a digest since the offer. */
  hasSentDigest: boolean;
  consecutivePages: number;
  next?: string | undefined;
}

/** Creates the state of a daemon that has not contacted any peer. */
export function createPeerSyncState(): PeerSyncState {
  const peers = new Map<string, TrackedPeer>();
  const pulling = new Set<string>();
  const digestRequests = new Map<string, "waiting" | "answered" | "failed">();

  const trackPeer = (host: string): TrackedPeer => {
    const existing = peers.get(host);
    if (existing !== undefined) {
      return existing;
    }
    const [oldest] = peers.keys();
    if (peers.size >= SETTINGS_LIMITS.maxTrackedPeers && oldest !== undefined) {
      peers.delete(oldest);
    }
    const created: TrackedPeer = { consecutivePages: 0, hasSentDigest: false };
    peers.set(host, created);
    return created;
  };
  const finishExchange = (host: string, localHash: string) => {
    const peer = trackPeer(host);
    peer.consecutivePages = 0;
    peer.next = undefined;
    peer.finishedHashes = describeHashes(localHash, peer.digest);
  };
  const isExchangeFinished = (peer: TrackedPeer, localHash: string) =>
    peer.digest === undefined || peer.digest[0] === localHash ||
    peer.finishedHashes === describeHashes(localHash, peer.digest);

  return {
    observeDigest: (from, digest) => {
      Object.assign(trackPeer(from), { digest, hasSentDigest: true });
      if (digestRequests.has(from)) {
        digestRequests.set(from, "answered");
      }
    },
    observeDigestFailure: (from) => {
      digestRequests.set(from, "failed");
    },
    observePull: (from, { isProductive, next }, localHash) => {
      pulling.delete(from);
      const peer = trackPeer(from);
      peer.consecutivePages += 1;
      peer.next = next;
      if (
        (!isProductive && next === undefined) ||
        peer.consecutivePages >= SETTINGS_LIMITS.maxConsecutivePages
      ) {
        finishExchange(from, localHash);
      }
    },
    observePullFailure: (from, localHash) => {
      pulling.delete(from);
      finishExchange(from, localHash);
    },
    decideExchange: (localDigest) => {
      const effects: SettingsEffect[] = [];
      for (const [host, peer] of peers) {
        if (
          peer.digest === undefined || isExchangeFinished(peer, localDigest[0]) || pulling.has(host)
        ) {
          continue;
        }
        const isBehind = peer.digest[1] < localDigest[1];
        if (isBehind && peer.offeredHash !== localDigest[0]) {
          Object.assign(peer, { offeredHash: localDigest[0], hasSentDigest: false });
          effects.push({ type: "offer", host });
          continue;
        }
        if (isBehind && !peer.hasSentDigest) {
          continue;
        }
        if (pulling.size < SETTINGS_LIMITS.maxPulls) {
          pulling.add(host);
          const { next } = peer;
          const comparesAll = peer.digest[1] <= localDigest[1];
          const after = next === undefined ? {} : { after: next };
          effects.push({ type: "pull", host, comparesAll, ...after });
        }
      }
      return effects;
    },
    decideDigestRequests: (candidates, nextFloat) => {
      const remaining = SETTINGS_LIMITS.startupPeers - digestRequests.size;
      const chosen = candidates
        .filter((host) => !digestRequests.has(host))
        .map((host) => ({ host, order: nextFloat() }))
        .sort((left, right) => left.order - right.order)
        .slice(0, Math.max(0, remaining));
      return chosen.map(({ host }) => {
        digestRequests.set(host, "waiting");
        return { type: "ask", host };
      });
    },
    isCaughtUp: (localHash) =>
      [...digestRequests].every(([host, status]) =>
        status === "failed" ||
        (status === "answered" && isExchangeFinished(trackPeer(host), localHash))
      ),
    countDigestRequests: () => digestRequests.size,
    resetDigestRequests: () => digestRequests.clear(),
    dumpState: () => ({ peers: peers.size, pulling: [...pulling], asked: digestRequests.size }),
  };
}

function describeHashes(localHash: string, digest: SettingsDigest | undefined): string {
  return `${localHash}/${digest?.[0] ?? ""}`;
}
