/** Source of a payload that another slice adds to every heartbeat. */
export interface HeartbeatPayloadSource {
  /** Short unique name of the payload, for example `settings`. */
  readonly name: string;
  /** Returns the payload of the next heartbeat, or undefined to add nothing. */
  collectPayload(): unknown;
  /** Applies the payload of a peer's heartbeat; the value is unvalidated input. */
  applyPayload(from: string, payload: unknown): void;
}

/** A message that is distributed to all hosts of the fleet until it expires. */
export interface Notice {
  readonly topic: string;
  /** Identity within the topic; a notice with a known key is not distributed again. */
  readonly key: string;
  /** Host that published the notice. */
  readonly origin: string;
  /** Unvalidated input. */
  readonly payload: unknown;
  /** Remaining lifetime, in milliseconds. */
  readonly ttlMs: number;
}

/** Membership slice: determines which hosts are live and exchanges notices between them. */
export interface Membership {
  /** Lists the names of the live hosts, sorted; includes this host unless it is leaving. */
  listLiveHosts(): readonly string[];
  isLive(host: string): boolean;
  /** Lists the live hosts that are not suspected; these may be returned to callers. */
  listUnsuspectedHosts(): readonly string[];
  /** Returns false after a long pause of this process until the view has been refreshed. */
  isViewFresh(): boolean;
  registerPayload(source: HeartbeatPayloadSource): void;
  /** Distributes a notice to all live hosts, best effort; a too large notice is refused. */
  publishNotice(notice: Omit<Notice, "origin">): void;
  /** Calls `listener` once for each notice of a topic, including those of this host. */
  subscribeNotices(topic: string, listener: (notice: Notice) => void): void;
  /** Reports to the fleet that this host accepts no new duties or callers. */
  startLeaving(): void;
  /** Reports to the fleet that this host has left; resolves when the neighbours were notified. */
  finishLeaving(): Promise<void>;
  start(): void;
  stop(): void;
  dumpState(): unknown;
}
