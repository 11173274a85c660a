/** Counts the bytes of a connection that its parser holds until the head they are part of is complete. */
export interface HeadMeter {
  readonly bytes: number;
  /** Counts bytes that are about to be parsed. */
  receive(bytes: number): void;
  /** Counts a complete head; without a length its body arrives in chunks. */
  recordHead(headBytes: number, bodyBytes: number | undefined): void;
  /** Counts a part of a body in chunks; what was counted before it framed the part. */
  recordChunk(): void;
}

/** Creates the meter of a new connection. */
export function createHeadMeter(): HeadMeter {
  let bytes = 0;
  /** Bytes of the body that have not arrived. */
  let bodyLeft = 0;
  return {
    get bytes() {
      return bytes;
    },
    receive: (count) => {
      const ofBody = Math.min(bodyLeft, count);
      bodyLeft -= ofBody;
      bytes += count - ofBody;
    },
    recordHead: (headBytes, bodyBytes = 0) => {
      bytes = Math.max(0, bytes - headBytes);
      const ofBody = Math.min(bytes, bodyBytes);
      bytes -= ofBody;
      bodyLeft = bodyBytes - ofBody;
    },
    recordChunk: () => {
      bytes = 0;
    },
  };
}
