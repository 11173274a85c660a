import type { SettingsView } from "../settings/mod.ts";

/** Returns the base URLs of a service's live upstreams, those of `dataCentre` first. */
export function listServiceUrls(
  settings: SettingsView,
  service: string,
  dataCentre: string,
): string[] {
  const live = [...settings.getUpstreams().values()].filter((upstream) =>
    upstream.kind === "service" && upstream.service === service && upstream.state === "live"
  );
  const near = live.filter((upstream) => upstream.dataCentre === dataCentre);
  const far = live.filter((upstream) => upstream.dataCentre !== dataCentre);
  return [...near, ...far].map((upstream) => upstream.url);
}
