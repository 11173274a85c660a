/** Address and port at which a host listens for peers. */
export interface PeerAddress {
  readonly address: string;
  readonly port: number;
}
