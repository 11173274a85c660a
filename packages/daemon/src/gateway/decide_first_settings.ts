/** What a host without settings knows when it has read some. */
export interface FirstSettings {
  readonly version: number;
  /** Versions that are active on the other live hosts; 0 on one that has none. */
  readonly versionsElsewhere: readonly number[];
  /** Whether other hosts may be live whose reports have not arrived yet. */
  readonly isDiscovering: boolean;
}

/**
 * Decides whether a process that has just started applies the settings that it has read. A settings
 * service that came back from an older copy may hold a key that has been withdrawn since; the other
 * hosts still know the later version.
 */
export function decideFirstSettings(
  { version, versionsElsewhere, isDiscovering }: FirstSettings,
): "apply" | "wait" {
  if (versionsElsewhere.length === 0 && isDiscovering) {
    return "wait";
  }
  return versionsElsewhere.some((elsewhere) => elsewhere > version) ? "wait" : "apply";
}
