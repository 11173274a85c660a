import type { Clock } from "@crocussail/protocol";
import type { RequestListener, Server, ServerOptions } from "node:http";
import type { Socket } from "node:net";
import type { ConnectionGuard, ListenerName } from "../connections/mod.ts";
import type { CallerLimits } from "../routes/mod.ts";
import { computeDrainTime } from "./compute_drain_time.ts";
import { GATEWAY_LIMITS } from "./constants.ts";
import type { GatewayAnswers } from "./create_gateway_answers.ts";
import type { GatewayConfig } from "./gateway_config_schema.ts";
import { openHttpListener } from "./open_http_listener.ts";
import { waitForDrain } from "./wait_for_drain.ts";

/** Options of {@link createGatewayListeners}. */
export interface GatewayListenersOptions {
  readonly config: Pick<GatewayConfig, "host" | "listen" | "shutdown">;
  readonly clock: Clock;
  readonly answers: GatewayAnswers;
  readonly guard: ConnectionGuard;
  readonly handleRequest: RequestListener;
  /** Receives the requests that other hosts hand over. */
  readonly handleHandover: RequestListener;
  /** Counts the requests whose response has not been sent completely. */
  readonly countOpen: () => number;
  /** Ends the open requests at the end of a drain; those without a response get one. */
  readonly endOpen: () => void;
}

/** The HTTP listeners of a gateway: for callers, other hosts, readiness, directory and metrics. */
export interface GatewayListeners {
  open(): Promise<void>;
  /** Applies the published limits of callers' connections. */
  applyLimits(limits: CallerLimits): void;
  /** Resolves when the requests and connections of callers have ended, or the grace period has. */
  drain(): Promise<void>;
  /** Closes the listeners and all connections. */
  close(): void;
}

/** Closes the connection of a request after its response if a body, which nothing reads, goes on. */
function closeAfterResponse(handle: RequestListener): RequestListener {
  return (request, response) => {
    response.once("finish", () => {
      if (!request.complete) {
        request.socket.destroy();
      }
    });
    handle(request, response);
  };
}

/** Creates the listeners, closed. */
export function createGatewayListeners(options: GatewayListenersOptions): GatewayListeners {
  const { config: { host, listen, shutdown }, clock, answers } = options;
  const listeners: Server[] = [];
  const connections = new Set<Socket>();
  let callers: Server | undefined;
  let limits: CallerLimits | undefined;

  const applyLimits = (next: CallerLimits) => {
    limits = next;
    if (callers !== undefined) {
      callers.headersTimeout = next.headerTimeoutMs;
      callers.keepAliveTimeout = next.idleTimeoutMs;
    }
  };

  return {
    // Requests are accepted last: the process ends if any address cannot be opened.
    open: async () => {
      const { answerReadiness, answerDirectory, answerMetrics } = answers;
      const open = (
        name: ListenerName,
        address: string,
        handle: RequestListener,
        server: ServerOptions = {},
      ) => openHttpListener({ address, name, guard: options.guard, server, handle });
      const openSmall = (name: ListenerName, address: string, handle: RequestListener) =>
        open(name, address, closeAfterResponse(handle));
      const forwarding = {
        maxHeaderSize: GATEWAY_LIMITS.maxParsedHeaderBytes,
        requestTimeout: 0, // reading a slow body is bounded by the request's own timeout
        noDelay: true,
      };
      listeners.push(
        await openSmall(
          "readiness",
          listen.readiness,
          (request, response) => answerReadiness(request.url ?? "/", response),
        ),
        await openSmall(
          "directory",
          listen.directory,
          (request, response) => answerDirectory(request.url ?? "/", response),
        ),
        await openSmall(
          "metrics",
          `${host.address}:${listen.metricsPort}`,
          (_request, response) => answerMetrics(response),
        ),
        await open(
          "hosts",
          `${host.address}:${listen.peerPort}`,
          options.handleHandover,
          forwarding,
        ),
      );
      callers = await open("callers", listen.callers, options.handleRequest, {
        ...forwarding,
        connectionsCheckingInterval: GATEWAY_LIMITS.connectionCheckMs,
      });
      callers.on("connection", (socket) => {
        connections.add(socket);
        socket.once("close", () => connections.delete(socket));
      });
      listeners.push(callers);
      if (limits !== undefined) {
        applyLimits(limits);
      }
    },
    applyLimits,
    drain: async () => {
      if (callers !== undefined) {
        await waitForDrain({
          clock,
          graceMs: computeDrainTime(shutdown),
          countOpen: options.countOpen,
          endOpen: options.endOpen,
          server: callers,
          connections,
        });
      }
    },
    close: () =>
      listeners.forEach((listener) => {
        listener.close();
        listener.closeAllConnections();
      }),
  };
}
