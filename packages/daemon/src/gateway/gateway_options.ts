import type { Clock, Logger, RandomSource } from "@crocussail/protocol";
import type { TextMetrics } from "../adapters/create_text_metrics.ts";
import type { OpenDatagramSocket } from "../adapters/datagram_socket.ts";
import type { DeploymentDialect } from "../adapters/deployment_dialect.ts";
import type { DeploymentDirectory } from "../adapters/deployment_directory.ts";
import type { DeploymentFeed } from "../adapters/deployment_feed.ts";
import type { KvCacheClient } from "../adapters/kv_cache_client.ts";
import type { ProbeConnection } from "../adapters/probe_connection.ts";
import type { OpenUpstreamExchange } from "../adapters/upstream_exchange.ts";
import type { GatewayConfig } from "./gateway_config_schema.ts";

/** Options of {@link createGateway}: its configuration and every external interface. */
export interface GatewayOptions {
  readonly config: GatewayConfig;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: TextMetrics;
  readonly dialect: DeploymentDialect;
  readonly directory: DeploymentDirectory;
  readonly feed: DeploymentFeed;
  /** Creates the client that copies KV caches, over the given exchange. */
  readonly createKvCache: (openExchange: OpenUpstreamExchange) => KvCacheClient;
  readonly openExchange: OpenUpstreamExchange;
  /** Probes the connection to an upstream. */
  readonly probeConnection: ProbeConnection;
  readonly openSocket: OpenDatagramSocket;
  /** Collects garbage now; missing if the runtime does not offer it. */
  readonly collectGarbage?: (() => void) | undefined;
}
