import type { Clock, Logger, Metrics } from "@crocussail/protocol";
import type { RequestListener, Server } from "node:http";
import type { Socket } from "node:net";
import { computeMaxConnections } from "./compute_max_connections.ts";
import { createCloseReports } from "./create_close_reports.ts";
import type { CloseReason } from "./create_close_reports.ts";
import { closeQueuedResponses } from "./close_queued_responses.ts";
import { CONNECTION_LIMITS } from "./constants.ts";
import { findExpendableConnection } from "./find_expendable_connection.ts";
import { splitReads } from "./split_reads.ts";
import type { GuardedConnection } from "./guarded_connection.ts";
import type { ListenerName } from "./listener_name.ts";

/** Options of {@link createConnectionGuard}. */
export interface ConnectionGuardOptions {
  readonly clock: Pick<Clock, "readMonotonicMs" | "startTimer">;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Descriptors that the process may open. */
  readonly descriptors: number;
}

/** Bounds what the clients of all listeners of a process hold together. */
export interface ConnectionGuard {
  /** Watches the connections of a server that does not listen yet. */
  watch(server: Server, name: ListenerName): void;
  /** Wraps the handler of a server's requests. */
  guardRequests(name: ListenerName, handle: RequestListener): RequestListener;
}

/** Creates the guard, without connections. */
export function createConnectionGuard(options: ConnectionGuardOptions): ConnectionGuard {
  const { clock } = options;
  const reports = createCloseReports(options);
  const connections = new Map<Socket, GuardedConnection>();
  let requestsAhead = 0;

  const close = (connection: GuardedConnection, name: ListenerName, reason: CloseReason) => {
    reports.recordClosed(name, reason);
    connection.socket.destroy();
  };
  const accept = (socket: Socket): GuardedConnection => {
    const connection: GuardedConnection = {
      socket,
      activeAtMs: clock.readMonotonicMs(),
      hasBegun: false,
      open: new Map(),
    };
    connections.set(socket, connection);
    socket.once("close", () => {
      connections.delete(socket);
      closeQueuedResponses(connection.open.keys());
    });
    return connection;
  };
  const hasTooManyRequests = ({ open }: GuardedConnection, name: ListenerName) =>
    open.size >= CONNECTION_LIMITS.maxOpenRequests[name] ||
    (open.size > 0 && requestsAhead >= CONNECTION_LIMITS.maxRequestsAhead);

  return {
    watch: (server, name) => {
      const maxConnections = computeMaxConnections(name, options.descriptors);
      const own = new Set<GuardedConnection>();
      server.on("connection", (socket) => {
        const connection = accept(socket);
        splitReads(socket);
        if (own.size >= maxConnections) {
          const expendable = findExpendableConnection(own, clock.readMonotonicMs()) ?? connection;
          own.delete(expendable); // its socket closes later
          close(expendable, name, "connections");
        }
        if (!socket.destroyed) {
          own.add(connection);
          socket.once("close", () => own.delete(connection));
        }
      });
    },
    guardRequests: (name, handle) => (request, response) => {
      const connection = connections.get(request.socket);
      if (connection === undefined || request.socket.destroyed) {
        return; // a request that was parsed with one for which the connection was closed
      }
      if (hasTooManyRequests(connection, name)) {
        close(connection, name, "requests");
        return;
      }
      const isAhead = connection.open.size > 0;
      requestsAhead += Number(isAhead);
      connection.hasBegun = true;
      connection.activeAtMs = clock.readMonotonicMs();
      connection.open.set(response, request);
      response.once("close", () => {
        requestsAhead -= Number(isAhead);
        connection.open.delete(response);
        connection.activeAtMs = clock.readMonotonicMs();
      });
      handle(request, response);
    },
  };
}
