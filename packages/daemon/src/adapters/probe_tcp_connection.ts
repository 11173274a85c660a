import { connect } from "node:net";
import { splitAddress } from "../common/split_address.ts";
import type { ProbeConnection } from "./probe_connection.ts";
import { startConnectTimer } from "./start_connect_timer.ts";

/** Opens a TCP connection, sends nothing and closes it. */
export const probeTcpConnection: ProbeConnection = (address, { timeoutMs, holdMs }) =>
  new Promise((resolve) => {
    const { host, port } = splitAddress(address);
    const socket = connect({ host, port });
    const settle = (isReached: boolean) => {
      cancelConnectTimer();
      clearTimeout(holdTimer);
      socket.destroy();
      resolve(isReached);
    };
    const cancelConnectTimer = startConnectTimer(timeoutMs, () => settle(false));
    let holdTimer: NodeJS.Timeout | undefined;
    socket.once("connect", () => {
      cancelConnectTimer();
      holdTimer = setTimeout(() => settle(true), holdMs);
    });
    socket.once("error", () => settle(false)); // the reason of a failed probe does not matter
    socket.once("end", () => settle(false));
    socket.resume();
  });
