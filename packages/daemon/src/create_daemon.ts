import type { Clock, Logger, Metrics, RandomSource } from "@crocussail/protocol";
import type { AddressInfo } from "node:net";
import type { EngineClient } from "./adapters/engine_client.ts";
import type { PlacementClient } from "./adapters/placement_client.ts";
import type { ProcessUsage } from "./adapters/process_usage.ts";
import type { LoadClient } from "./adapters/load_client.ts";
import type { ServiceClient } from "./adapters/service_client.ts";
import type { SettingsSource } from "./adapters/settings_source.ts";
import { createAdmission } from "./admission/mod.ts";
import type { DaemonContext } from "./common/daemon_context.ts";
import type { ResolvedDaemonConfig } from "./config/mod.ts";
import { openListener } from "./open_listener.ts";
import { createEntry } from "./entry/mod.ts";
import { createGenerations } from "./generations/mod.ts";
import { createCallerServer } from "./http/mod.ts";
import type { TlsMaterial } from "./http/mod.ts";
import { createMembership } from "./membership/mod.ts";
import { createOrders } from "./orders/mod.ts";
import { createPeerTransport } from "./peers/mod.ts";
import { createPlacement } from "./placement/mod.ts";
import { createSettings } from "./settings/mod.ts";
import { createShutdown } from "./shutdown/mod.ts";
import { createJournal, createOperatorServer, createProcessReporter } from "./state_dump/mod.ts";

/** Options of {@link createDaemon}: the configuration and every external interface. */
export interface DaemonOptions {
  readonly config: ResolvedDaemonConfig;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly settingsSource: SettingsSource;
  readonly engine: EngineClient;
  readonly load: LoadClient;
  readonly service: ServiceClient;
  readonly placementClient: PlacementClient;
  readonly readUsage: () => ProcessUsage;
  /** CPU time of this process since its start, in milliseconds. */
  readonly readCpuMs: () => number;
  /** Certificate and key of the callers' listener. */
  readonly tls?: TlsMaterial;
}

/** Ports on which a started daemon listens. */
export interface DaemonPorts {
  readonly caller: number;
  readonly peer: number;
  readonly operator: number;
}

/** A daemon. */
export interface Daemon {
  readonly host: string;
  /** Opens the listeners and loads the settings. */
  start(): Promise<DaemonPorts>;
  /** Shuts down gracefully: waits for running requests to end. */
  shutdown(): Promise<void>;
  /** Stops immediately: closes all servers without waiting for running requests. */
  stop(): Promise<void>;
}

const INCARNATION_BYTES = 8;
const REQUEST_ID_BYTES = 8;
/** `maxEntries` applies to each request. */
const JOURNAL_LIMITS = { maxRequests: 2_000, maxEntries: 32 };

/** Creates a daemon from its modules. */
export function createDaemon(options: DaemonOptions): Daemon {
  const { config, clock, random, logger, metrics } = options;
  const settings = createSettings({
    context: { clock, logger, random, config },
    source: options.settingsSource,
  });
  const peers = createPeerTransport({
    host: config.host.name,
    fleetKeys: config.fleetKeys,
    clock,
    random,
    logger,
    findAddress: settings.findPeerAddress,
  });
  const incarnation = random.nextHex(INCARNATION_BYTES);
  const journal = createJournal({
    clock,
    readRevision: settings.view.getRevision,
    ...JOURNAL_LIMITS,
  });
  const context: DaemonContext = {
    config,
    clock,
    random,
    logger,
    metrics,
    peers,
    journal,
    incarnation,
  };
  const membership = createMembership({ context, settings: settings.view });
  settings.joinFleet({ peers, membership });
  const admission = createAdmission({
    context,
    settings: settings.view,
    membership,
    load: options.load,
  });
  const generations = createGenerations({
    context,
    settings: settings.view,
    membership,
    admission,
    engine: options.engine,
  });
  const orders = createOrders({
    context,
    settings: settings.view,
    membership,
    service: options.service,
  });
  const placement = createPlacement({
    context,
    settings: settings.view,
    membership,
    client: options.placementClient,
    isSettingsReady: settings.isReady,
  });
  const entry = createEntry({
    context,
    settings: settings.view,
    membership,
    createKeyPrefix: orders.createKeyPrefix,
    readCpuMs: options.readCpuMs,
  });

  const callerServer = createCallerServer({
    clock,
    journal,
    logger,
    metrics,
    readMaxBodyBytes: () => settings.view.getFleetLimits().maxBodyBytes,
    ...(options.tls === undefined ? {} : { tls: options.tls }),
    createRequestId: () => random.nextHex(REQUEST_ID_BYTES),
  });
  const shutdown = createShutdown({
    clock,
    logger,
    server: callerServer,
    readEntryTtlMs: () => settings.view.getFleetLimits().entryTtlMs,
    countHosts: () => membership.listLiveHosts().length + 1,
    stopDaemon: () => stop(),
  });
  shutdown.registerShutdownStep({ name: "generations", countRunning: generations.countRunning });
  shutdown.registerShutdownStep({
    name: "orders",
    countRunning: orders.countRunning,
    finishLeaving: orders.handOverDuties,
  });
  shutdown.registerShutdownStep({
    name: "membership",
    startLeaving: membership.startLeaving,
    finishLeaving: membership.finishLeaving,
  });
  generations.registerRoutes(callerServer);
  orders.registerRoutes(callerServer);
  entry.registerRoutes(callerServer);

  const reporter = createProcessReporter({
    clock,
    metrics,
    readUsage: options.readUsage,
    gauges: {
      "generations.running": generations.countRunning,
      "orders.running": orders.countRunning,
      "settings.revision": settings.view.getRevision,
      "members.live": () => membership.listLiveHosts().length,
    },
  });

  const stop = async () => {
    reporter.stop();
    settings.stop();
    membership.stop();
    entry.stop();
    admission.stop();
    placement.stop();
    orders.stop();
    generations.stop();
    await callerServer.close();
    await operatorServer.close();
    await peers.close();
    logger.writeEvent("daemonStopped");
  };
  const operatorServer = createOperatorServer({
    config,
    incarnation,
    journal,
    isReady: () => settings.isReady() && membership.isViewFresh() && !shutdown.isLeaving(),
    sections: {
      peers: peers.dumpState,
      settings: settings.dumpState,
      membership: membership.dumpState,
      entry: entry.dumpState,
      admission: admission.dumpState,
      generations: generations.dumpState,
      orders: orders.dumpState,
      shutdown: shutdown.dumpState,
      placement: placement.dumpState,
      journal: () => ({ requests: journal.countRequests() }),
    },
  });

  return {
    host: config.host.name,
    start: async () => {
      const { listen } = config;
      const { address, operatorAddress } = listen;
      const listenAddress = { addressName: "listen.address", address };
      const peer = await openListener(
        { ...listenAddress, portName: "listen.peer_port", port: listen.peerPort },
        (target) => peers.startListening(target.address, target.port),
      );
      await settings.start();
      membership.start();
      entry.start();
      admission.start();
      placement.start();
      reporter.start();
      await openListener(
        { ...listenAddress, portName: "listen.caller_port", port: listen.callerPort },
        ({ port }) => callerServer.listen({ host: address, port }),
      );
      await openListener(
        {
          addressName: "listen.operator_address",
          address: operatorAddress,
          portName: "listen.operator_port",
          port: listen.operatorPort,
        },
        ({ port }) => operatorServer.listen({ host: operatorAddress, port }),
      );
      const caller = (callerServer.server.address() as AddressInfo).port;
      const operator = (operatorServer.server.address() as AddressInfo).port;
      logger.writeEvent("daemonStarted", { caller, peer, operator });
      return { caller, peer, operator };
    },
    shutdown: shutdown.startShutdown,
    stop,
  };
}
