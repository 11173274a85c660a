// The operator's configuration of a small deployment, after PROTOCOL.md and the sheet of vtcs-tagline.

const HOST = "orders.example";

/** Builds version `version`; `orderService` serves the plain routes. */
export function buildConfig(version, { orderService = "ordering-app" } = {}) {
  const common = { host: HOST, max_attempts: 1, public: false };
  const stream = {
    kind: "streaming",
    gap_target_ms: 180,
    sticky_sessions: true,
  };
  return {
    version,
    routes: [
      {
        ...common,
        ...stream,
        ...{
          name: "draft",
          prefix: "/draft/",
          service: "drafting-llm",
          priority: 1,
        },
        ...{ timeout_ms: 39_000, target_latency_ms: 1_800 },
      },
      {
        ...common,
        ...{
          name: "place",
          prefix: "/place/",
          kind: "non_idempotent",
          service: orderService,
        },
        ...{ timeout_ms: 800, target_latency_ms: 121, priority: 2 },
      },
      {
        ...common,
        ...{
          name: "status",
          prefix: "/status/",
          kind: "idempotent",
          service: orderService,
        },
        ...{
          timeout_ms: 800,
          target_latency_ms: 121,
          priority: 2,
          max_attempts: 2,
        },
      },
    ],
    services: [
      {
        ...{
          name: "drafting-llm",
          max_connections: 232,
          health_path: "/health",
        },
        engine: {
          ...{
            slots: 24,
            cache_tokens: 34_256,
            token_bytes: 131_072,
            link_mbps: 19_000,
          },
          ...{ moves: false, backups: false, stride: 4 },
        },
      },
      { name: "ordering-app", max_connections: 96, health_path: "/health" },
      { name: "ordering-next", max_connections: 96, health_path: "/health" },
    ],
    limits: {
      ...{ max_header_bytes: 16_384, max_body_bytes: 4_194_304 },
      ...{ header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    },
    tenants: [
      { name: "agents", api_keys: ["key-agents-1"] },
      { name: "farmers", api_keys: ["key-farmers-1"] },
    ],
  };
}

/** Kinds of requests: rates and time limits of the sheet; drafts are shorter than there. */
export const KINDS = {
  place: {
    path: "/place/order",
    method: "POST",
    perSecond: 22.3,
    deadlineMs: 1_500,
  },
  status: {
    path: "/status/order",
    method: "GET",
    perSecond: 8.96,
    deadlineMs: 1_500,
  },
  draft: {
    path: "/draft/tag",
    method: "POST",
    perSecond: 3.25,
    deadlineMs: 39_000,
  },
};

/** `timeout_ms` of the routes, by kind. */
export const ROUTE_TIMEOUT_MS = { place: 800, status: 800, draft: 39_000 };

/** The name that clients ask the directory for. */
export const HOST_NAME = HOST;
