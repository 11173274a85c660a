/** Limits of peer connections. */
export const PEER_LIMITS = {
  /** Largest frame, in bytes; a larger one closes the connection. */
  maxFrameBytes: 4 * 1024 * 1024,
  /** Unsent bytes on one connection above which frames are dropped. */
  maxBufferedBytes: 8 * 1024 * 1024,
  /** Timeout of each step of the handshake, in milliseconds. */
  handshakeTimeoutMs: 2_000,
  /** Requests that wait for a reply, over all peers; further ones fail at once. */
  maxPendingRequests: 10_000,
  /** Length to which an error text that is logged or sent to a peer is truncated. */
  maxReasonCharacters: 200,
  /** Delay after the first failed dial of a host, in milliseconds; doubles with each failure. */
  minBackoffMs: 100,
  /** Largest number of doublings of that delay. */
  maxDoublings: 4,
  /** Hosts whose failures are kept; at this limit the oldest entry is evicted. */
  maxFailedHosts: 4_096,
} as const;
