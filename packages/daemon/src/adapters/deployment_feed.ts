import type { RouteSettings } from "../routes/mod.ts";
import type { UpstreamRecord } from "../upstreams/mod.ts";

/** A published value and the revision at which it was written. */
export interface PublishedSettings {
  readonly revision: number;
  readonly settings: RouteSettings;
}

/** Receives what a deployment publishes. */
export interface DeploymentFeedListener {
  /** A later version of the settings. */
  applySettings(published: PublishedSettings): void;
  applyUpstream(record: UpstreamRecord): void;
  /** The record is gone, or no longer names a usable upstream. */
  removeUpstream(id: string): void;
  /** The settings service answers again, or has stopped to. */
  noteContact(isAnswering: boolean, detail: string): void;
  /** A published value cannot be used; it changes nothing. */
  rejectValue(key: string, reason: string): void;
}

/** How often a feed reads, in milliseconds; asked anew each time. */
export interface FeedPace {
  /** Pause between two reads of upstreams; a longer one gathers more changes in one read. */
  readonly computeReadPause: () => number;
  /** Time after which a watch of the settings without news is ended and begun anew. */
  readonly computeSettingsWait: () => number;
}

/** Reads and watches what a deployment publishes. */
export interface DeploymentFeed {
  start(listener: DeploymentFeedListener, pace: FeedPace): void;
  /** Reads the settings now, because another host knows a later revision. */
  refreshSettings(): void;
  /** Reads everything now, because this process has not run for a while. */
  refreshAll(): void;
  stop(): void;
}
