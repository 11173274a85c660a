import type { MetricEntry } from "./metric_entry.ts";

/** All metrics by name, without the prefix `crocussail.`; source of docs/METRICS.md. */
export const METRICS_CATALOGUE = {
  "requests": {
    type: "counter",
    unit: "requests",
    meaning: "Answered requests, by tags `route` and `status`",
  },
  "request.duration": {
    type: "distribution",
    unit: "ms",
    meaning: "Time from the request's headers to the end of its response, by tag `route`",
  },
  "generations.running": {
    type: "gauge",
    unit: "streams",
    meaning: "Generations relayed by this daemon",
  },
  "generations.ended": {
    type: "counter",
    unit: "streams",
    meaning: "Ended streams, by tag `end`: finished, stopped, slow or tooLarge",
  },
  "generations.lost": {
    type: "counter",
    unit: "requests",
    meaning: "Requests that ended without a complete response, by tag `reason`",
  },
  "generations.reconnects": {
    type: "counter",
    unit: "reconnects",
    meaning: "Reconnects to upstreams after a connection failure",
  },
  "generations.placed_again": {
    type: "counter",
    unit: "placements",
    meaning: "Further placements of a request before its first token",
  },
  "admission.queued": {
    type: "gauge",
    unit: "requests",
    meaning: "Requests in the queue of an upstream that this daemon owns, by tag `upstream`",
  },
  "admission.headroom": {
    type: "gauge",
    unit: "ratio",
    meaning: "Share of an upstream's memory that admission leaves free, by tag `upstream`",
  },
  "orders.running": {
    type: "gauge",
    unit: "calls",
    meaning: "Calls to plain services running on this daemon",
  },
  "orders.ended": {
    type: "counter",
    unit: "orders",
    meaning: "Non-repeatable calls, by tag `answer`: completed, unknown, notRun, contended ...",
  },
  "process.cpu": {
    type: "gauge",
    unit: "ratio",
    meaning: "Share of one core used since the last report",
  },
  "process.memory": { type: "gauge", unit: "bytes", meaning: "Resident memory of the daemon" },
  "process.loop_delay": {
    type: "gauge",
    unit: "ms",
    meaning: "Longest delay of the event loop since the last report",
  },
  "settings.revision": {
    type: "gauge",
    unit: "revision",
    meaning: "Highest active settings revision",
  },
  "members.live": {
    type: "gauge",
    unit: "hosts",
    meaning: "Hosts that this daemon considers live",
  },
  "log.dropped": {
    type: "counter",
    unit: "lines",
    meaning: "Dropped log lines: too many of one event in a second, or a stalled reader",
  },
  "balancing.spread": {
    type: "gauge",
    unit: "ratio",
    meaning:
      "Most generations on a usable engine divided by the mean, as this host knew it when it last placed one, by tag `service`",
  },
  "balancing.idle": {
    type: "gauge",
    unit: "ratio",
    meaning:
      "Share of the usable engines without a generation, as this host knew it when it last placed one, by tag `service`",
  },
  "forwarding.answers": {
    type: "counter",
    unit: "requests",
    meaning: "Ended forwarded requests, by tags `kind` and `end`",
  },
  "forwarding.duration": {
    type: "distribution",
    unit: "ms",
    meaning:
      "Time from the arrival of a forwarded request to the end of its response, by tag `kind`",
  },
  "forwarding.firstPart": {
    type: "distribution",
    unit: "ms",
    meaning: "Time from the arrival of a forwarded generation to its first event",
  },
  "forwarding.eventGap": {
    type: "distribution",
    unit: "ms",
    meaning: "Time between events of forwarded generations",
  },
  "quarantine.promptParts": {
    type: "gauge",
    unit: "parts",
    meaning: "Parts of prompts that are quarantined because they crash engines",
  },
  "forwarding.streams": {
    type: "counter",
    unit: "streams",
    meaning:
      "Closed response streams of upstreams, by tags `framing`: length, chunks, connection; and `end`: end, failure",
  },
  "forwarding.running": {
    type: "gauge",
    unit: "requests",
    meaning: "Requests placed by this host that have not ended",
  },
  "forwarding.waiting": {
    type: "gauge",
    unit: "requests",
    meaning: "Generations queued at this host for capacity at an engine",
  },
  "forwarding.repeats": {
    type: "counter",
    unit: "requests",
    meaning: "Retries of forwarded requests, by tag `outcome` of the previous attempt",
  },
  "forwarding.reruns": {
    type: "counter",
    unit: "runs",
    meaning: "Runs of resumable generations at a further engine, by tags `cause` and `end`",
  },
  "forwarding.handovers": {
    type: "counter",
    unit: "requests",
    meaning:
      "Requests offered to another host, by tag `end`: handedOver, declined, timeout, unknown, callerLeft, callerSlow",
  },
  "forwarding.moves": {
    type: "counter",
    unit: "generations",
    meaning:
      "Migrations of running generations, by tag `end`: copied, fromCopy, failed, and tag `reason`: draining, silent, evacuating",
  },
  "forwarding.stops": {
    type: "counter",
    unit: "calls",
    meaning:
      "Engines told to stop a generation that goes on elsewhere, by tag `end`: stopped, unreachable, untold",
  },
  "upstreams.known": {
    type: "gauge",
    unit: "upstreams",
    meaning: "Known upstreams, by tag `status`",
  },
  "upstreams.pauses": {
    type: "counter",
    unit: "pauses",
    meaning: "Pauses that upstreams have asked this host for",
  },
  "upstreams.unreachableServices": {
    type: "gauge",
    unit: "services",
    meaning: "Services of which this host reaches no upstream",
  },
  "upstreams.unreadResponses": {
    type: "counter",
    unit: "requests",
    meaning: "Requests to upstreams that this host gave up before the head of their response",
  },
  "upstreams.probes": {
    type: "counter",
    unit: "connections",
    meaning: "Connections opened only to see whether an upstream is reached, by tag `end`",
  },
  "upstreams.evacuatedDataCentres": {
    type: "gauge",
    unit: "data centres",
    meaning: "Evacuated data centres that this host knows",
  },
  "upstreams.brittle": {
    type: "gauge",
    unit: "upstreams",
    meaning: "Upstreams that fall over when they refuse too many requests",
  },
  "upstreams.limited": {
    type: "gauge",
    unit: "upstreams",
    meaning: "Upstreams that name a limit for the requests of all hosts together",
  },
  "upstreams.limitedRequests": {
    type: "counter",
    unit: "requests",
    meaning: "Requests of any kind that this host sent to upstreams that name a limit or are cold",
  },
  "upstreams.permits": {
    type: "counter",
    unit: "requests",
    meaning:
      "Requests of this host for permits of limited upstreams that are not cold, by tag `end`",
  },
  "upstreams.cold": {
    type: "gauge",
    unit: "upstreams",
    meaning: "Upstreams that are cold, of services with a cold rate",
  },
  "upstreams.coldPermits": {
    type: "counter",
    unit: "requests",
    meaning: "Requests of this host for permits of cold upstreams, by tag `end`",
  },
  "hosts.rejected": {
    type: "counter",
    unit: "datagrams",
    meaning: "Received datagrams and handed-over requests that the fleet key has not signed",
  },
  "hosts.live": {
    type: "gauge",
    unit: "hosts",
    meaning: "Hosts whose last report arrived within the last second",
  },
  "settings.version": {
    type: "gauge",
    unit: "version",
    meaning: "Version of the active published settings",
  },
  "connections.closed": {
    type: "counter",
    unit: "connections",
    meaning:
      "Connections closed because of a limit, by tag `listener` and tag `reason`: connections, requests, heads, unsent",
  },
  "forwarding.overloaded": {
    type: "counter",
    unit: "requests",
    meaning: "Requests refused because the kept bodies and headers of all requests left no room",
  },
  "forwarding.faults": {
    type: "counter",
    unit: "errors",
    meaning: "Errors of this host that ended a request or a callback, see 1002",
  },
  "settings.age": {
    type: "gauge",
    unit: "ms",
    meaning: "Age of the last response on the settings: later versions may not be known",
  },
} as const satisfies Record<string, MetricEntry>;
