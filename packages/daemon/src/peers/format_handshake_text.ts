/** Fields of a handshake that both sides sign. */
export interface HandshakeParts {
  readonly side: "dialer" | "listener";
  /** Host that dials. */
  readonly host: string;
  /** Host that is dialed. */
  readonly target: string;
  /** Nonces of the listener and of the dialer; each side's own nonce protects it from replays. */
  readonly listenerNonce: string;
  readonly dialerNonce: string;
}

/** Renders the text that one side of a peer handshake signs. */
export function formatHandshakeText(parts: HandshakeParts): string {
  const { side, host, target, listenerNonce, dialerNonce } = parts;
  return JSON.stringify(["peer", side, host, target, listenerNonce, dialerNonce]);
}
