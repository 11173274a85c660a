import { connect } from "node:net";
import { splitAddress } from "../common/split_address.ts";
import type { ProbeConnection } from "./probe_connection.ts";

/** Opens a TCP connection, sends nothing and closes it. */
export const probeTcpConnection: ProbeConnection = (address, { timeoutMs, holdMs }) =>
  new Promise((resolve) => {
    const { host, port } = splitAddress(address);
    const socket = connect({ host, port });
    const settle = (isReached: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(isReached);
    };
    let timer = setTimeout(() => settle(false), timeoutMs);
    socket.once("connect", () => {
      clearTimeout(timer);
      timer = setTimeout(() => settle(true), holdMs);
    });
    socket.once("error", () => settle(false)); // the reason of a failed probe does not matter
    socket.once("end", () => settle(false));
    socket.resume();
  });
