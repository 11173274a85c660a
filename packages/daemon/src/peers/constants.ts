/** Limits of peer links. */
export const PEER_LIMITS = {
  /** Largest frame, in bytes; a larger one closes the link. */
  maxFrameBytes: 4 * 1024 * 1024,
  /** Unsent bytes of one link above which messages are dropped. */
  maxBufferedBytes: 8 * 1024 * 1024,
  /** Time within which a handshake must end, in milliseconds. */
  handshakeTimeoutMs: 2_000,
  /** Requests of one link waiting for a reply; more are refused. */
  maxPendingRequests: 10_000,
  /** Characters kept of the reason for rejecting a message. */
  maxReasonCharacters: 200,
  /** Wait after the first failed attempt to reach a host, in milliseconds; doubles with each. */
  minBackoffMs: 100,
  /** Doublings of that wait. */
  maxDoublings: 4,
  /** Hosts whose failures are remembered; the oldest is forgotten at the bound. */
  maxFailedHosts: 4_096,
} as const;
