/** A running stand-in. */
export interface StandInServer {
  /** Base URL on the loopback interface. */
  readonly url: string;
  /** Closes the listener and every connection. */
  close(): Promise<void>;
}
