import { createResultError } from "@crocussail/protocol";
import type { Clock, Logger, RandomSource, ResultError, Timer } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import { WebSocketServer } from "ws";
import type { WebSocket } from "ws";
import { acceptPeer } from "./accept_peer.ts";
import { PEER_LIMITS } from "./constants.ts";
import { decideDialBackoff } from "./decide_dial_backoff.ts";
import type { DialFailures } from "./dial_failures.ts";
import { createPeerTraffic } from "./create_peer_traffic.ts";
import { decodePeerFrame } from "./decode_peer_frame.ts";
import { dialPeer } from "./dial_peer.ts";
import type { PeerAddress } from "./peer_address.ts";
import type { PeerFrame } from "./peer_frame.ts";
import type { PeerHandler, PeerTransport } from "./peer_transport.ts";
import { sendPeerFrame } from "./send_peer_frame.ts";

/** Options of {@link createPeerTransport}. */
export interface PeerTransportOptions {
  /** Name of this host. */
  readonly host: string;
  readonly fleetKeys: readonly string[];
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Finds the address at which a host listens for peers. */
  readonly findAddress: (host: string) => PeerAddress | undefined;
}

/** A peer transport with its listener. */
export interface ListeningPeerTransport extends PeerTransport {
  /** Starts the listener; returns its port. */
  startListening(address: string, port: number): Promise<number>;
  /** Closes every connection and the listener. */
  close(): Promise<void>;
  dumpState(): unknown;
}

interface PendingRequest {
  readonly host: string;
  readonly channel: string;
  readonly timer: Timer;
  settle(result: Either<ResultError, unknown>): void;
}

/** Creates the transport of this daemon: it dials one connection per peer, on demand. */
export function createPeerTransport(options: PeerTransportOptions): ListeningPeerTransport {
  const handlers = new Map<string, PeerHandler>();
  const dialed = new Map<string, Promise<WebSocket>>();
  const accepted = new Set<WebSocket>();
  const failures = new Map<string, DialFailures>();
  const pendingRequests = new Map<number, PendingRequest>();
  const traffic = createPeerTraffic();
  let server: WebSocketServer | undefined;
  let nextId = 1;
  let isClosed = false;

  const sendFrame = (socket: WebSocket, channel: string, frame: PeerFrame) =>
    traffic.recordSent(channel, sendPeerFrame(socket, frame));

  const settleRequest = (id: number, result: Either<ResultError, unknown>) => {
    const request = pendingRequests.get(id);
    if (request === undefined) {
      return;
    }
    pendingRequests.delete(id);
    request.timer.cancel();
    request.settle(result);
  };

  const failPendingRequests = (host: string) => {
    for (const [id, request] of pendingRequests) {
      if (request.host === host) {
        settleRequest(
          id,
          Left(createResultError("peerUnreachable", `connection to ${host} closed`)),
        );
      }
    }
  };

  const answerRequest = async (
    socket: WebSocket,
    from: string,
    frame: PeerFrame & { type: "request" },
  ) => {
    const handler = handlers.get(frame.channel);
    if (handler === undefined) {
      const detail = `no handler for channel "${frame.channel}"`;
      sendFrame(socket, frame.channel, { type: "failure", id: frame.id, detail });
      return;
    }
    try {
      const body = await handler(from, frame.body);
      sendFrame(socket, frame.channel, { type: "reply", id: frame.id, body });
    } catch (error) {
      sendFrame(socket, frame.channel, {
        type: "failure",
        id: frame.id,
        detail: String(error).slice(0, PEER_LIMITS.maxReasonCharacters),
      });
    }
  };

  /** Settles a pending request with its peer's reply; replies from other peers are ignored. */
  const handleReply = (
    from: string,
    frame: PeerFrame & { type: "reply" | "failure" },
    bytes: number,
  ) => {
    const request = pendingRequests.get(frame.id);
    if (request?.host !== from) {
      return;
    }
    traffic.recordReceived(request.channel, bytes);
    settleRequest(
      frame.id,
      frame.type === "reply"
        ? Right(frame.body)
        : Left(createResultError("peerUnreachable", frame.detail)),
    );
  };

  const handleFrame = (socket: WebSocket, from: string, data: Uint8Array) => {
    const frame = decodePeerFrame(data);
    if (frame === undefined) {
      socket.terminate();
      return;
    }
    switch (frame.type) {
      case "message":
        traffic.recordReceived(frame.channel, data.length);
        callHandler(from, frame.channel, frame.body);
        break;
      case "request":
        traffic.recordReceived(frame.channel, data.length);
        answerRequest(socket, from, frame);
        break;
      case "reply":
      case "failure":
        handleReply(from, frame, data.length);
        break;
    }
  };

  const callHandler = async (from: string, channel: string, body: unknown) => {
    try {
      await handlers.get(channel)?.(from, body);
    } catch (error) {
      const reason = String(error).slice(0, PEER_LIMITS.maxReasonCharacters);
      options.logger.writeEvent("peerMessageRejected", { peer: from, channel, reason });
    }
  };

  const openConnection = async (host: string): Promise<WebSocket> => {
    const address = options.findAddress(host);
    if (address === undefined) {
      throw new Error(`no known address for host ${host}`);
    }
    const socket = await dialPeer({ ...options, target: host, address });
    if (isClosed) {
      socket.terminate();
      throw new Error("the transport is closed");
    }
    options.logger.writeEvent("peerConnected", { peer: host });
    socket.on("message", (data) => handleFrame(socket, host, data as Uint8Array));
    socket.on("close", () => {
      dialed.delete(host);
      failPendingRequests(host);
      options.logger.writeEvent("peerDisconnected", { peer: host });
    });
    return socket;
  };

  const recordDialFailure = (host: string) => {
    dialed.delete(host);
    const [oldest] = failures.keys();
    if (failures.size >= PEER_LIMITS.maxFailedHosts && oldest !== undefined) {
      failures.delete(oldest);
    }
    const nowMs = options.clock.readMonotonicMs();
    const next = decideDialBackoff(failures.get(host), nowMs, options.random.nextFloat());
    failures.set(host, next);
  };

  const getConnection = (host: string): Promise<WebSocket> => {
    const existing = dialed.get(host);
    if (existing !== undefined) {
      return existing;
    }
    if (isClosed) {
      return Promise.reject(new Error("the transport is closed"));
    }
    const waitMs = (failures.get(host)?.retryAtMs ?? 0) - options.clock.readMonotonicMs();
    if (waitMs > 0) {
      return Promise.reject(
        new Error(`backing off from host ${host}: next dial in ${Math.ceil(waitMs)} ms`),
      );
    }
    const opening = openConnection(host);
    dialed.set(host, opening);
    opening.then(() => failures.delete(host), () => recordDialFailure(host));
    return opening;
  };

  const sendRequest = async (host: string, frame: PeerFrame & { type: "request" }) => {
    if (host === options.host) {
      const body = await handlers.get(frame.channel)?.(host, frame.body);
      settleRequest(frame.id, Right(body));
      return;
    }
    sendFrame(await getConnection(host), frame.channel, frame);
  };

  return {
    sendMessage: (host, channel, body) => {
      if (host === options.host) {
        callHandler(host, channel, body);
        return;
      }
      getConnection(host).then(
        (socket) => sendFrame(socket, channel, { type: "message", channel, body }),
        () => {},
      );
    },
    requestReply: (host, channel, body, timeoutMs) => {
      if (pendingRequests.size >= PEER_LIMITS.maxPendingRequests) {
        const detail = "too many requests are waiting for replies from peers";
        return Promise.resolve(Left(createResultError("peerUnreachable", detail)));
      }
      const id = nextId++;
      return new Promise((settle) => {
        const timer = options.clock.startTimer(timeoutMs, () => {
          const detail = `no reply from ${host} within ${timeoutMs} ms`;
          settleRequest(id, Left(createResultError("peerUnreachable", detail)));
        });
        pendingRequests.set(id, { host, channel, timer, settle });
        sendRequest(host, { type: "request", channel, id, body }).catch((error) => {
          settleRequest(id, Left(createResultError("peerUnreachable", `${host}: ${error}`)));
        });
      });
    },
    registerHandler: (channel, handler) => {
      handlers.set(channel, handler);
    },
    startListening: (address, port) =>
      new Promise((resolve, reject) => {
        server = new WebSocketServer({
          host: address,
          port,
          maxPayload: PEER_LIMITS.maxFrameBytes,
          perMessageDeflate: false,
        });
        server.on("connection", (socket) => {
          accepted.add(socket);
          socket.on("error", () => socket.terminate());
          socket.on("close", () => accepted.delete(socket));
          acceptPeer({ ...options, socket }).then(
            (from) => socket.on("message", (data) => handleFrame(socket, from, data as Uint8Array)),
            (error) => {
              options.logger.writeEvent("peerRefused", { reason: String(error) });
              socket.terminate();
            },
          );
        });
        server.on("error", reject);
        server.on("listening", () => {
          const listenAddress = server?.address();
          resolve(
            typeof listenAddress === "object" && listenAddress !== null ? listenAddress.port : port,
          );
        });
      }),
    dumpState: () => ({
      dialed: dialed.size,
      accepted: accepted.size,
      pending: pendingRequests.size,
      traffic: traffic.dumpState(),
    }),
    close: async () => {
      isClosed = true; // a connection that is opened later would keep the process from ending
      for (const opening of dialed.values()) {
        await opening.then((socket) => socket.terminate(), () => {});
      }
      accepted.forEach((socket) => socket.terminate());
      await new Promise<void>((resolve) => server ? server.close(() => resolve()) : resolve());
    },
  };
}
