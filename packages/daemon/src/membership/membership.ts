/** Payload that another slice adds to every heartbeat. */
export interface HeartbeatRider {
  /** Short unique name, for example `settings`. */
  readonly name: string;
  /** Returns the payload of the next heartbeat, or undefined to add nothing. */
  collectPayload(): unknown;
  /** Takes the payload of a peer's heartbeat; the value is unchecked input. */
  applyPayload(from: string, payload: unknown): void;
}

/** A fact that goes round the fleet until it expires. */
export interface Notice {
  readonly topic: string;
  /** Identity within the topic; a notice with a known key is not spread again. */
  readonly key: string;
  /** Host that published the notice. */
  readonly origin: string;
  /** Unchecked input. */
  readonly payload: unknown;
  /** Remaining lifetime, in milliseconds. */
  readonly ttlMs: number;
}

/** Membership slice: which hosts are believed live, and what travels between them. */
export interface Membership {
  /** Names of the hosts believed live, sorted; includes this host unless it is leaving. */
  listLiveHosts(): readonly string[];
  isLive(host: string): boolean;
  /** Live hosts that nobody doubts: the ones to name to callers. */
  listUndoubtedHosts(): readonly string[];
  /** False after a long pause of this process until the view has been refreshed. */
  isViewFresh(): boolean;
  registerRider(rider: HeartbeatRider): void;
  /** Spreads a notice to every live host; bounded and best effort. */
  publishNotice(notice: Omit<Notice, "origin">): void;
  /** Calls `listener` once for each notice of a topic, own ones included. */
  subscribeNotices(topic: string, listener: (notice: Notice) => void): void;
  /** Tells the fleet that this host takes no new duties or callers. */
  startLeaving(): void;
  /** Tells the fleet that this host has left; the last message before the links close. */
  finishLeaving(): void;
  start(): void;
  stop(): void;
  dumpState(): unknown;
}
