import type { PublishedSettings } from "../adapters/deployment_feed.ts";

/**
 * Whether a published value replaces the active one. The operator's version decides, because a
 * settings service that comes back from an older copy holds an older version under a later era and
 * gives out its revisions again. Of the same version, the one written last is applied.
 */
export function isNewerSettings(
  next: PublishedSettings,
  active: PublishedSettings | undefined,
): boolean {
  if (active === undefined) {
    return true;
  }
  const versions = next.settings.version - active.settings.version;
  return versions > 0 || (versions === 0 &&
    (next.era > active.era || (next.era === active.era && next.revision > active.revision)));
}
