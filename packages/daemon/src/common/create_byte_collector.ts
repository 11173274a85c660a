/** Bytes that arrive in chunks and are read as a whole. */
export interface ByteCollector {
  add(chunk: Uint8Array): void;
  readonly size: number;
  /** Returns all bytes. */
  read(): Uint8Array;
}

/** Chunks that are kept as they arrive before they are merged. */
const MAX_LOOSE_CHUNKS = 256;

/**
 * Creates a collector whose memory is a small multiple of its size, however small the chunks are: a
 * chunk keeps an object, and the buffer that its socket has read, in memory.
 */
export function createByteCollector(): ByteCollector {
  const merged: Uint8Array[] = [];
  let loose: Uint8Array[] = [];
  let size = 0;
  return {
    get size() {
      return size;
    },
    add: (chunk) => {
      size += chunk.length;
      loose.push(chunk);
      if (loose.length === MAX_LOOSE_CHUNKS) {
        merged.push(Buffer.concat(loose));
        loose = [];
      }
    },
    read: () =>
      merged.length === 0 && loose.length === 1
        ? loose[0] as Uint8Array
        : Buffer.concat([...merged, ...loose]),
  };
}
