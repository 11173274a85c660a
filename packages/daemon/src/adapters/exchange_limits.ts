/** Limits of one exchange with an upstream, in bytes. */
export const EXCHANGE_LIMITS = {
  /** Bytes of a response that may not belong to its body, those in the socket's buffer included. */
  maxFramingBytes: 262_144,
  /** The same for each byte of the body: a chunk of one byte takes five more. */
  framingBytesPerBodyByte: 8,
} as const;
