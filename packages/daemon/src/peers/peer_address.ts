/** Where a host listens for peers. */
export interface PeerAddress {
  readonly address: string;
  readonly port: number;
}
