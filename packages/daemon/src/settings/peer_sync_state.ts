import { SETTINGS_LIMITS } from "./constants.ts";
import type { SettingsDigest } from "./settings_digest_schema.ts";
import type { SettingsEffect } from "./settings_effect.ts";

/** Decides which peers to ask, pull from and offer to. */
export interface PeerSyncState {
  observeDigest(from: string, digest: SettingsDigest): void;
  /** Notes that `from` has been asked for its digest in vain. */
  observeAskFailure(from: string): void;
  /** Notes the end of a pull. */
  observePull(from: string, result: PullResult, ownHash: string): void;
  observePullFailure(from: string, ownHash: string): void;
  /** Chooses pulls and offers for the peers whose last digest differs from the own one. */
  decideExchange(own: SettingsDigest): SettingsEffect[];
  /** Asks peers for their digests until enough of them have been asked. */
  decideQuestions(peers: readonly string[], shuffle: () => number): SettingsEffect[];
  /** Tells whether every asked peer has failed or been caught up with. */
  isCaughtUp(ownHash: string): boolean;
  countAsked(): number;
  /** Starts the round of questions afresh. */
  resetQuestions(): void;
  dumpState(): Readonly<Record<string, unknown>>;
}

/** End of a pull. */
export interface PullResult {
  /** Whether it changed the own map. */
  readonly isProductive: boolean;
  /** Where the next page begins, when this one was cut. */
  readonly next?: string | undefined;
}

interface TrackedPeer {
  digest?: SettingsDigest;
  /** Own hash and peer's hash at the end of a pull that changed nothing. */
  settled?: string;
  /** Own hash that has been offered to the peer. */
  offered?: string;
  /** Whether the peer has shown a digest since the offer. */
  hasAnswered: boolean;
  pagesInRow: number;
  next?: string | undefined;
}

/** Creates the state of a daemon that knows no peer. */
export function createPeerSyncState(): PeerSyncState {
  const peers = new Map<string, TrackedPeer>();
  const pulling = new Set<string>();
  const asked = new Map<string, "waiting" | "answered" | "failed">();

  const trackPeer = (host: string): TrackedPeer => {
    const existing = peers.get(host);
    if (existing !== undefined) {
      return existing;
    }
    const [oldest] = peers.keys();
    if (peers.size >= SETTINGS_LIMITS.maxTrackedPeers && oldest !== undefined) {
      peers.delete(oldest);
    }
    const created: TrackedPeer = { pagesInRow: 0, hasAnswered: false };
    peers.set(host, created);
    return created;
  };
  const settlePeer = (host: string, ownHash: string) => {
    const peer = trackPeer(host);
    peer.pagesInRow = 0;
    peer.next = undefined;
    peer.settled = describePair(ownHash, peer.digest);
  };
  const isSettled = (peer: TrackedPeer, ownHash: string) =>
    peer.digest === undefined || peer.digest[0] === ownHash ||
    peer.settled === describePair(ownHash, peer.digest);

  return {
    observeDigest: (from, digest) => {
      Object.assign(trackPeer(from), { digest, hasAnswered: true });
      if (asked.has(from)) {
        asked.set(from, "answered");
      }
    },
    observeAskFailure: (from) => {
      asked.set(from, "failed");
    },
    observePull: (from, { isProductive, next }, ownHash) => {
      pulling.delete(from);
      const peer = trackPeer(from);
      peer.pagesInRow += 1;
      peer.next = next;
      if (
        (!isProductive && next === undefined) || peer.pagesInRow >= SETTINGS_LIMITS.maxPagesInRow
      ) {
        settlePeer(from, ownHash);
      }
    },
    observePullFailure: (from, ownHash) => {
      pulling.delete(from);
      settlePeer(from, ownHash);
    },
    decideExchange: (own) => {
      const effects: SettingsEffect[] = [];
      for (const [host, peer] of peers) {
        if (peer.digest === undefined || isSettled(peer, own[0]) || pulling.has(host)) {
          continue;
        }
        const isBehind = peer.digest[1] < own[1];
        if (isBehind && peer.offered !== own[0]) {
          Object.assign(peer, { offered: own[0], hasAnswered: false });
          effects.push({ type: "offer", host });
          continue;
        }
        if (isBehind && !peer.hasAnswered) {
          continue;
        }
        if (pulling.size < SETTINGS_LIMITS.maxPulls) {
          pulling.add(host);
          const { next } = peer;
          const comparesAll = peer.digest[1] <= own[1];
          const after = next === undefined ? {} : { after: next };
          effects.push({ type: "pull", host, comparesAll, ...after });
        }
      }
      return effects;
    },
    decideQuestions: (candidates, shuffle) => {
      const wanted = SETTINGS_LIMITS.startupPeers - asked.size;
      const chosen = candidates
        .filter((host) => !asked.has(host))
        .map((host) => ({ host, order: shuffle() }))
        .sort((left, right) => left.order - right.order)
        .slice(0, Math.max(0, wanted));
      return chosen.map(({ host }) => {
        asked.set(host, "waiting");
        return { type: "ask", host };
      });
    },
    isCaughtUp: (ownHash) =>
      [...asked].every(([host, status]) =>
        status === "failed" || (status === "answered" && isSettled(trackPeer(host), ownHash))
      ),
    countAsked: () => asked.size,
    resetQuestions: () => asked.clear(),
    dumpState: () => ({ peers: peers.size, pulling: [...pulling], asked: asked.size }),
  };
}

function describePair(ownHash: string, digest: SettingsDigest | undefined): string {
  return `${ownHash}/${digest?.[0] ?? ""}`;
}
