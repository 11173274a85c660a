import type { TraceLine } from "../common/trace_line.ts";

/** Events of the fleet that explain a request's way: they name an upstream or a dependency. */
const UPSTREAM_EVENTS = new Set(["upstreamLeft", "upstreamLapsed", "upstreamJoined"]);
const HOST_EVENTS = new Set([
  "settingsFeedLost",
  "settingsFeedRegained",
  "settingsInForce",
  "pauseNoticed",
  "gatewayLeaving",
  "gatewayStarted",
  "hostLost",
]);
const MARGIN_MS = 3_000; // a notice leaves some 2 s, so its cause stands that long before

/**
 * Selects the lines of one request in time order, and those around it that tell of its upstreams and
 * hosts. Hosts' clocks may differ by some milliseconds.
 */
export function selectTrace(lines: readonly TraceLine[], requestId: string): TraceLine[] {
  const own = lines.filter(({ fields }) => fields["request"] === requestId);
  const hosts = new Set(own.map(({ host }) => host));
  const upstreams = new Set(
    own.flatMap(({ fields }) => ["upstream", "copy", "from", "to"].map((name) => fields[name])),
  );
  const times = own.map(({ time }) => Date.parse(time));
  const firstMs = Math.min(...times) - MARGIN_MS;
  const lastMs = Math.max(...times) + MARGIN_MS;
  const around = lines.filter(({ time, host, name, fields }) => {
    const atMs = Date.parse(time);
    const isNamed = UPSTREAM_EVENTS.has(name) && upstreams.has(fields["upstream"]);
    return hosts.has(host) && atMs >= firstMs && atMs <= lastMs &&
      (isNamed || HOST_EVENTS.has(name));
  });
  return [...own, ...around].toSorted((left, right) =>
    Date.parse(left.time) - Date.parse(right.time)
  );
}
