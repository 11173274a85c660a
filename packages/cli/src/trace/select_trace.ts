import type { LogLine } from "../common/log_line.ts";

/** Events that can explain how a request was routed if they name one of its upstreams. */
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
/**
 * An upstream announces its draining about 2 s before it ends, so an event that explains a response
 * can be this much older.
 */
const MARGIN_MS = 3_000;

/**
 * Selects the lines of one request, and the lines about its upstreams and hosts from the same time,
 * in time order. Hosts' clocks may differ by some milliseconds.
 */
export function selectTrace(lines: readonly LogLine[], requestId: string): LogLine[] {
  const requestLines = lines.filter(({ fields }) => fields["request"] === requestId);
  const hosts = new Set(requestLines.map(({ host }) => host));
  const upstreams = new Set(
    requestLines.flatMap(({ fields }) =>
      ["upstream", "copy", "from", "to"].map((name) => fields[name])
    ),
  );
  const times = requestLines.map(({ time }) => Date.parse(time));
  const firstMs = Math.min(...times) - MARGIN_MS;
  const lastMs = Math.max(...times) + MARGIN_MS;
  const relatedLines = lines.filter(({ time, host, name, fields }) => {
    const atMs = Date.parse(time);
    const isAboutRequestUpstream = UPSTREAM_EVENTS.has(name) && upstreams.has(fields["upstream"]);
    return hosts.has(host) && atMs >= firstMs && atMs <= lastMs &&
      (isAboutRequestUpstream || HOST_EVENTS.has(name));
  });
  return [...requestLines, ...relatedLines].toSorted((left, right) =>
    Date.parse(left.time) - Date.parse(right.time)
  );
}
