import type { Clock, Logger, Metrics } from "@crocussail/protocol";
import type { IncomingMessage, RequestListener, Server } from "node:http";
import type { Socket } from "node:net";
import type { ReleaseMeter } from "../common/create_release_meter.ts";
import { closeQueuedResponses } from "./close_queued_responses.ts";
import { computeMaxConnections } from "./compute_max_connections.ts";
import { CONNECTION_LIMITS } from "./constants.ts";
import { createCloseReports } from "./create_close_reports.ts";
import type { CloseReason } from "./create_close_reports.ts";
import { createHeadMeter } from "./create_head_meter.ts";
import { findExpendableConnection } from "./find_expendable_connection.ts";
import type { GuardedConnection } from "./guarded_connection.ts";
import type { ListenerName } from "./listener_name.ts";
import { measureRequest } from "./measure_request.ts";
import { splitReads } from "./split_reads.ts";

/** Options of {@link createConnectionGuard}. */
export interface ConnectionGuardOptions {
  readonly clock: Pick<Clock, "readMonotonicMs" | "startTimer">;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Descriptors that the process may open. */
  readonly descriptors: number;
  /** Bytes of all responses together that clients have not read. */
  readonly maxUnsentBytes: number;
  readonly releases: ReleaseMeter;
}

/** Bounds what the clients of all listeners of a process hold together. */
export interface ConnectionGuard {
  /** Watches the connections of a server that does not listen yet. */
  watch(server: Server, name: ListenerName): void;
  /** Wraps the handler of a server's requests, which reads the headers before it returns. */
  guardRequests(handle: RequestListener): RequestListener;
  /** Counts what a connection has not sent, after bytes of a response were written to it. */
  recordWritten(socket: Socket, bytes: number): void;
}

/** Creates the guard, without connections. */
export function createConnectionGuard(options: ConnectionGuardOptions): ConnectionGuard {
  const { clock } = options;
  const reports = createCloseReports(options);
  /** Connections that are not being closed. */
  const connections = new Map<Socket, GuardedConnection>();
  let requestsAhead = 0;
  /** Bytes of all heads that are arriving, and of those whose connections are being closed. */
  let headBytes = 0;
  let closingHeadBytes = 0;
  let unsentBytes = 0;

  const forget = (connection: GuardedConnection) => {
    if (connections.delete(connection.socket)) {
      headBytes -= connection.head.bytes;
      unsentBytes -= connection.unsentBytes;
    }
  };
  const close = (connection: GuardedConnection, reason: CloseReason) => {
    forget(connection);
    reports.recordClosed(connection.listener, reason);
    connection.socket.destroy();
  };
  const changeHead = (connection: GuardedConnection, change: () => void) => {
    if (connections.has(connection.socket)) {
      const before = connection.head.bytes;
      change();
      headBytes += connection.head.bytes - before;
    }
  };
  const countUnsent = (connection: GuardedConnection) => {
    if (!connections.has(connection.socket)) {
      return;
    }
    const bytes = [...connection.open.keys()]
      .reduce((sum, { writableLength }) => sum + writableLength, 0);
    if (connection.unsentBytes === 0) {
      connection.unsentSinceMs = clock.readMonotonicMs();
    }
    unsentBytes += bytes - connection.unsentBytes;
    connection.unsentBytes = bytes;
  };
  /** Closes the connections whose clients have not read everything for longest. */
  const limitUnsent = () => {
    if (unsentBytes <= options.maxUnsentBytes) {
      return;
    }
    const slowestFirst = [...connections.values()]
      .filter((connection) => connection.unsentBytes > 0)
      .sort((left, right) => left.unsentSinceMs - right.unsentSinceMs);
    for (const connection of slowestFirst) {
      if (unsentBytes <= options.maxUnsentBytes) {
        return;
      }
      options.releases.recordReleased(connection.unsentBytes);
      close(connection, "unsent");
    }
  };
  const closeHead = (connection: GuardedConnection) => {
    const { bytes } = connection.head;
    closingHeadBytes += bytes;
    connection.socket.once("close", () => {
      closingHeadBytes -= bytes;
    });
    close(connection, "heads");
  };
  /**
   * Closes the connections with the largest heads while all together are too large, and the current
   * one while the memory of those before it has not been released.
   */
  const limitHeads = (current: GuardedConnection) => {
    const { maxHeadBytes, ordinaryHeadBytes } = CONNECTION_LIMITS;
    if (closingHeadBytes > maxHeadBytes && current.head.bytes > ordinaryHeadBytes) {
      closeHead(current);
    }
    if (headBytes <= maxHeadBytes) {
      return;
    }
    const largestFirst = [...connections.values()]
      .sort((left, right) => right.head.bytes - left.head.bytes);
    for (const connection of largestFirst) {
      if (headBytes <= maxHeadBytes) {
        return;
      }
      closeHead(connection);
    }
  };
  const accept = (socket: Socket, listener: ListenerName): GuardedConnection => {
    const connection: GuardedConnection = {
      socket,
      listener,
      head: createHeadMeter(),
      activeAtMs: clock.readMonotonicMs(),
      hasBegun: false,
      open: new Map(),
      unsentBytes: 0,
      unsentSinceMs: 0,
    };
    connections.set(socket, connection);
    socket.on("drain", () => countUnsent(connection));
    socket.once("close", () => {
      forget(connection);
      closeQueuedResponses(connection.open.keys());
    });
    splitReads(socket, (bytes) => {
      changeHead(connection, () => connection.head.receive(bytes));
      limitHeads(connection);
    });
    return connection;
  };
  const recordHead = (connection: GuardedConnection, request: IncomingMessage) => {
    const size = measureRequest(request);
    changeHead(connection, () => connection.head.recordHead(size.headBytes, size.bodyBytes));
    if (size.bodyBytes === undefined) {
      request.on("data", () => changeHead(connection, connection.head.recordChunk));
    }
  };
  const hasTooManyRequests = ({ open, listener }: GuardedConnection) =>
    open.size >= CONNECTION_LIMITS.maxOpenRequests[listener] ||
    (open.size > 0 && requestsAhead >= CONNECTION_LIMITS.maxRequestsAhead);

  return {
    watch: (server, name) => {
      const maxConnections = computeMaxConnections(name, options.descriptors);
      const own = new Set<GuardedConnection>();
      server.on("connection", (socket) => {
        const connection = accept(socket, name);
        if (own.size >= maxConnections) {
          const expendable = findExpendableConnection(own, clock.readMonotonicMs()) ?? connection;
          own.delete(expendable); // its socket closes later
          close(expendable, "connections");
        }
        if (!socket.destroyed) {
          own.add(connection);
          socket.once("close", () => own.delete(connection));
        }
      });
    },
    guardRequests: (handle) => (request, response) => {
      const connection = connections.get(request.socket);
      if (connection === undefined) {
        return; // a request that was parsed with one for which the connection was closed
      }
      recordHead(connection, request);
      if (hasTooManyRequests(connection)) {
        close(connection, "requests");
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
        countUnsent(connection);
        connection.activeAtMs = clock.readMonotonicMs();
      });
      handle(request, response);
      // The request lives as long as its connection waits for the rest of a body.
      request.rawHeaders = [];
      request.headers = {};
    },
    recordWritten: (socket, bytes) => {
      if (bytes >= CONNECTION_LIMITS.largeWriteBytes) {
        options.releases.recordReleased(bytes);
      }
      const connection = connections.get(socket);
      if (connection !== undefined) {
        countUnsent(connection);
        limitUnsent();
      }
    },
  };
}
