import type { Clock, Logger, Metrics } from "@crocussail/protocol";
import type { PublishedSettings } from "../adapters/deployment_feed.ts";
import { GATEWAY_LIMITS } from "./constants.ts";
import { decideFirstSettings } from "./decide_first_settings.ts";
import { isNewerSettings } from "./is_newer_settings.ts";

/** Options of {@link createActiveSettings}. */
export interface ActiveSettingsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Lists the versions that are active on the other live hosts; 0 on one that has none. */
  readonly listVersionsElsewhere: () => readonly number[];
  /** Whether this host knows seeds beside itself. */
  readonly hasOtherSeeds: boolean;
  /** Computes the milliseconds since the settings were last read completely. */
  readonly computeAge: () => number;
  /** Called when settings have become active. */
  readonly handleActive: (published: PublishedSettings) => void;
}

/** The published settings that are active on this host. */
export interface ActiveSettings {
  get(): PublishedSettings | undefined;
  /** Applies settings unless they are older than the active ones, or the first and held back. */
  apply(next: PublishedSettings): void;
  /** Applies the settings that were held back if they may be used now. */
  applyHeld(): void;
}

/** Creates the active settings of a process that has just started: none. */
export function createActiveSettings(options: ActiveSettingsOptions): ActiveSettings {
  const { clock, logger, metrics } = options;
  const startedAtMs = clock.readMonotonicMs();
  let active: PublishedSettings | undefined;
  /** Settings that were read but not applied, because other hosts may have later ones. */
  let held: PublishedSettings | undefined;

  const canBeFirst = ({ settings }: PublishedSettings) =>
    decideFirstSettings({
      version: settings.version,
      versionsElsewhere: options.listVersionsElsewhere(),
      isDiscovering: options.hasOtherSeeds &&
        clock.readMonotonicMs() - startedAtMs < GATEWAY_LIMITS.discoveryMs,
    }) === "apply";

  const apply = (next: PublishedSettings) => {
    if (!isNewerSettings(next, active)) {
      return;
    }
    const { version } = next.settings;
    if (active === undefined && !canBeFirst(next)) {
      if (held === undefined) {
        logger.writeEvent("settingsHeldBack", { version });
      }
      held = next;
      return;
    }
    held = undefined;
    active = next;
    metrics.gauge("settings.version", version);
    logger.writeEvent("settingsInForce", {
      ...{ version, era: next.era, revision: next.revision },
      ageMs: Math.round(options.computeAge()),
    });
    options.handleActive(next);
  };

  return {
    get: () => active,
    apply,
    applyHeld: () => {
      if (held !== undefined) {
        apply(held);
      }
    },
  };
}
