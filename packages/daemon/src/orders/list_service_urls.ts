import type { SettingsView } from "../settings/mod.ts";

/** Returns the base URLs of a service's live upstreams, those in `dataCentre` first. */
export function listServiceUrls(
  settings: SettingsView,
  service: string,
  dataCentre: string,
): string[] {
  const live = [...settings.getUpstreams().values()].filter((upstream) =>
    upstream.kind === "service" && upstream.service === service && upstream.state === "live"
  );
  const local = live.filter((upstream) => upstream.dataCentre === dataCentre);
  const remote = live.filter((upstream) => upstream.dataCentre !== dataCentre);
  return [...local, ...remote].map((upstream) => upstream.url);
}
