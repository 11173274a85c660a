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
    meaning: "Time from the request's headers to the end of its answer, by tag `route`",
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
    meaning: "Requests that ended without a whole answer, by tag `reason`",
  },
  "generations.reconnects": {
    type: "counter",
    unit: "reconnects",
    meaning: "Reconnects to upstreams after a link fault",
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
    meaning: "Calls of plain services running on this daemon",
  },
  "orders.ended": {
    type: "counter",
    unit: "orders",
    meaning:
      "Calls that may not repeat, by tag `answer`: completed, unknown, notRun, contended ...",
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
    meaning: "Highest settings revision in force",
  },
  "members.live": { type: "gauge", unit: "hosts", meaning: "Hosts this daemon believes live" },
} as const satisfies Record<string, MetricEntry>;
