/** Sends and receives datagrams on one address. */
export interface DatagramSocket {
  /** Sends without confirmation of delivery. */
  send(address: string, datagram: Uint8Array): void;
  close(): void;
}

/** Opens a socket on `address`; `receive` is called with each datagram. */
export type OpenDatagramSocket = (
  address: string,
  receive: (datagram: Uint8Array) => void,
) => Promise<DatagramSocket>;
