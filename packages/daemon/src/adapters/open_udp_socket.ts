import { createSocket } from "node:dgram";
import { splitAddress } from "../common/split_address.ts";
import type { OpenDatagramSocket } from "./datagram_socket.ts";

/** Opens a UDP socket; resolves once it is bound. */
export const openUdpSocket: OpenDatagramSocket = (address, receive) =>
  new Promise((resolve, reject) => {
    const { host, port } = splitAddress(address);
    const socket = createSocket("udp4");
    socket.once("error", reject);
    socket.on("message", receive);
    socket.bind(port, host, () => {
      socket.off("error", reject);
      // A datagram that cannot be sent counts as lost; the next periodic report replaces it.
      socket.on("error", () => {});
      resolve({
        send: (target, datagram) => {
          const { host: targetHost, port: targetPort } = splitAddress(target);
          socket.send(datagram, targetPort, targetHost, () => {});
        },
        close: () => socket.close(),
      });
    });
  });
