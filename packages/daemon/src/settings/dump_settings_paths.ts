import type { SettingsState } from "./settings_state.ts";

/** Maximum number of paths listed in a dump; the counts cover all paths. */
const MAX_DUMPED_PATHS = 2_000;

/** Returns a dump of a settings map, limited in size, without values, rejected paths first. */
export function dumpSettingsPaths(state: SettingsState): Readonly<Record<string, unknown>> {
  const entries = [...state.listEntries()];
  const rejected = entries.filter((entry) => entry.findings.length > 0);
  const others = entries.filter((entry) => entry.findings.length === 0);
  const listed = [...rejected, ...others].slice(0, MAX_DUMPED_PATHS);
  return {
    counts: {
      paths: state.countPaths(),
      rejected: rejected.length,
      tombstones: state.countTombstones(),
      bytes: state.countBytes(),
    },
    paths: Object.fromEntries(listed.map(({ newest, accepted, findings }) => [newest.path, {
      revision: newest.revision,
      acceptedRevision: accepted?.update.revision ?? 0,
      ...(findings.length === 0 ? {} : { rejection: findings }),
    }])),
  };
}
