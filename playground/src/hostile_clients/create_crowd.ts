import { connect } from "node:net";
import type { Socket } from "node:net";

/** Many connections to one address that each send the same. */
export interface Crowd {
  /** Resolves once all are connected or closed and nothing has been sent for a while. */
  settle(): Promise<void>;
  /** Closes all connections. */
  leave(): void;
}

/** What each connection of a crowd sends. */
export interface CrowdOptions {
  readonly address: string;
  readonly connections: number;
  /** Sent first; the number of the connection is passed. */
  readonly begin?: (index: number) => string;
  /** Sent `count` times after it, unless the host closes the connection. */
  readonly repeated?: { readonly text: string; readonly count: number };
  /** Whether responses are read. */
  readonly isReading?: boolean;
}

const PIECE_REPEATS = 1_000;
const QUIET_MS = 700;
const POLL_MS = 50;
const MAX_SETTLE_MS = 20_000;

/** Opens the connections of a crowd. */
export function createCrowd(options: CrowdOptions): Crowd {
  const [host, port] = options.address.split(":");
  const sockets: Socket[] = [];
  let lastChangeAtMs = performance.now();
  const recordChange = () => {
    lastChangeAtMs = performance.now();
  };
  const { text, count } = options.repeated ?? { text: "", count: 0 };
  const piece = Buffer.from(text.repeat(Math.min(count, PIECE_REPEATS)), "latin1");
  const pieces = Math.ceil(count / PIECE_REPEATS);
  for (let index = 0; index < options.connections; index++) {
    const socket = connect(Number(port), host);
    sockets.push(socket);
    let sentPieces = 0;
    const write = () => {
      recordChange();
      while (sentPieces < pieces && !socket.destroyed && socket.write(piece)) {
        sentPieces++;
      }
    };
    socket.on("error", () => {}); // the host may reset the connection
    socket.on("close", recordChange);
    socket.on("drain", () => {
      sentPieces++;
      write();
    });
    socket.once("connect", () => {
      socket.write(options.begin?.(index) ?? "", "latin1");
      write();
    });
    options.isReading === true ? socket.resume() : socket.pause();
  }
  return {
    settle: async () => {
      const startMs = performance.now();
      const isSettled = () =>
        (performance.now() - lastChangeAtMs > QUIET_MS &&
          sockets.every(({ connecting }) => !connecting)) ||
        performance.now() - startMs > MAX_SETTLE_MS;
      while (!isSettled()) {
        await new Promise((resolve) => setTimeout(resolve, POLL_MS));
      }
    },
    leave: () => sockets.forEach((socket) => socket.destroy()),
  };
}
