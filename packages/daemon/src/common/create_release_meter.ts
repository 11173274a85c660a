/** Counts the bytes of large buffers that are let go of. */
export interface ReleaseMeter {
  recordReleased(bytes: number): void;
}

/** Bytes of released buffers after which garbage is collected. */
const COLLECTION_BYTES = 4 * 1_048_576;

/**
 * Creates a meter that has garbage collected when large buffers of many bytes were let go of: the
 * engine itself lets memory outside its heap grow by 64 MB first. Without `collectGarbage` it does
 * nothing.
 */
export function createReleaseMeter(collectGarbage: (() => void) | undefined): ReleaseMeter {
  let releasedBytes = 0;
  return {
    recordReleased: (bytes) => {
      releasedBytes += bytes;
      if (releasedBytes >= COLLECTION_BYTES) {
        releasedBytes = 0;
        collectGarbage?.();
      }
    },
  };
}
