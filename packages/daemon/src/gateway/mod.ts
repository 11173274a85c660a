/** A daemon that forwards callers' requests by published routes. @module */
export { createBufferedLogger } from "../adapters/create_buffered_logger.ts";
export { createSystemClock } from "../adapters/create_system_clock.ts";
export { createSystemRandom } from "../adapters/create_system_random.ts";
export { createTextMetrics } from "../adapters/create_text_metrics.ts";
export type {
  CallerRequestHead,
  DeploymentDialect,
  UpstreamRequestFields,
} from "../adapters/deployment_dialect.ts";
export type { DeploymentDirectory } from "../adapters/deployment_directory.ts";
export type {
  DeploymentFeed,
  DeploymentFeedListener,
  FeedIntervals,
  PublishedEvacuation,
  PublishedEvacuationList,
  PublishedSettings,
} from "../adapters/deployment_feed.ts";
export type {
  GenerationStopResult,
  KvCacheClient,
  KvCacheCopyRequest,
  KvCacheCopyResult,
} from "../adapters/kv_cache_client.ts";
export { openHttpExchange } from "../adapters/open_http_exchange.ts";
export { openUdpSocket } from "../adapters/open_udp_socket.ts";
export type { ProbeConnection } from "../adapters/probe_connection.ts";
export { probeTcpConnection } from "../adapters/probe_tcp_connection.ts";
export type { OpenUpstreamExchange, UpstreamExchange } from "../adapters/upstream_exchange.ts";
export { createByteBudget } from "../common/create_byte_budget.ts";
export type { ByteBudget } from "../common/create_byte_budget.ts";
export { createBoundedBuffer } from "../common/create_bounded_buffer.ts";
export { findHeader } from "../common/find_header.ts";
export { removeHopByHopHeaders } from "../common/remove_hop_by_hop_headers.ts";
export type {
  CallerLimits,
  EngineLimits,
  RequestKind,
  Route,
  RouteSettings,
  RouteTeam,
  ServiceSettings,
} from "../routes/mod.ts";
export type { UpstreamRecord } from "../upstreams/mod.ts";
export { createGateway } from "./create_gateway.ts";
export type { Gateway } from "./create_gateway.ts";
export type { GatewayConfig } from "./gateway_config_schema.ts";
export type { GatewayOptions } from "./gateway_options.ts";
export { applyReload } from "./apply_reload.ts";
export { resolveGatewayConfig } from "./resolve_gateway_config.ts";
