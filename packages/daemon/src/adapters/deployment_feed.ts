import type { RouteSettings } from "../routes/mod.ts";
import type { UpstreamRecord } from "../upstreams/mod.ts";

/** A published value, and where it was written. */
export interface PublishedSettings {
  /** Era of the settings service, which rises when it comes back from an older copy. */
  readonly era: number;
  /** Revision at which it was written; revisions are given out again in another era. */
  readonly revision: number;
  readonly settings: RouteSettings;
}

/** A change of the evacuation of a data centre, and where it was written. */
export interface PublishedEvacuation {
  readonly dataCentre: string;
  /** False if the entry was removed, which withdraws the evacuation. */
  readonly isEvacuated: boolean;
  readonly era: number;
  readonly revision: number;
}

/** The evacuations that a complete read found. */
export interface PublishedEvacuationList {
  readonly era: number;
  /** Revision of the settings service when the read began. */
  readonly revision: number;
  /** Revisions at which the entries were written, by data centre. */
  readonly entries: ReadonlyMap<string, number>;
}

/** Handles the updates that a deployment publishes. */
export interface DeploymentFeedListener {
  /** Applies a newer version of the settings. */
  applySettings(published: PublishedSettings): void;
  /** Applies a change that a watch has seen. */
  applyEvacuation(published: PublishedEvacuation): void;
  /** Applies a complete read; called before the settings of that read are applied. */
  applyEvacuationList(list: PublishedEvacuationList): void;
  applyUpstream(record: UpstreamRecord): void;
  /** Called when the record is deleted or no longer describes a usable upstream. */
  removeUpstream(id: string): void;
  /** Called after a complete read that began at the given monotonic time, with all ids. */
  applyUpstreamList(ids: ReadonlySet<string>, readAtMs: number): void;
  /** Called when all changes of the settings up to the given monotonic time have been applied. */
  recordSettingsRead(readAtMs: number): void;
  /** Called when all changes of upstreams up to the given monotonic time have been applied. */
  recordUpstreamsRead(readAtMs: number): void;
  /**
   * Called with the era of the settings service when it is first known and when it rises: the
   * service has then come back from an older copy of its values.
   */
  recordEra(era: number): void;
  /** Called when the settings service becomes available or unavailable. */
  recordAvailability(isAvailable: boolean, detail: string): void;
  /** Called when a published value is invalid; it is ignored. */
  rejectValue(key: string, reason: string): void;
}

/** Intervals of a feed in milliseconds; computed again for each read. */
export interface FeedIntervals {
  /** Time until the upstreams have to be read again; asked again while the feed waits. */
  readonly computeReadDelay: () => number;
  /** Time after which a watch of the settings without changes ends and is started again. */
  readonly computeSettingsPollTimeout: () => number;
  /** Longest pause between two attempts while the settings service does not respond. */
  readonly maxBackoffMs: number;
}

/** Reads and watches the settings and upstreams that a deployment publishes. */
export interface DeploymentFeed {
  start(listener: DeploymentFeedListener, intervals: FeedIntervals): void;
  /** Reads the settings at once; called when another host has a newer revision. */
  refreshSettings(): void;
  /** Reads everything at once; called when this process resumed after a pause. */
  refreshAll(): void;
  stop(): void;
}
