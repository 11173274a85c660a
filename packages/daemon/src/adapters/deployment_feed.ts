import type { RouteSettings } from "../routes/mod.ts";
import type { UpstreamRecord } from "../upstreams/mod.ts";

/** A published value and the revision at which it was written. */
export interface PublishedSettings {
  readonly revision: number;
  readonly settings: RouteSettings;
}

/** Handles the updates that a deployment publishes. */
export interface DeploymentFeedListener {
  /** Applies a newer version of the settings. */
  applySettings(published: PublishedSettings): void;
  applyUpstream(record: UpstreamRecord): void;
  /** Called when the record is deleted or no longer describes a usable upstream. */
  removeUpstream(id: string): void;
  /** Called when the settings service becomes available or unavailable. */
  recordAvailability(isAvailable: boolean, detail: string): void;
  /** Called when a published value is invalid; it is ignored. */
  rejectValue(key: string, reason: string): void;
}

/** Intervals of a feed in milliseconds; computed again for each read. */
export interface FeedIntervals {
  /** Delay between two reads of upstreams; a longer one batches more changes into one read. */
  readonly computeReadInterval: () => number;
  /** Time after which a watch of the settings without changes ends and is started again. */
  readonly computeSettingsPollTimeout: () => number;
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
