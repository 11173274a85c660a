import type { ReleaseMeter } from "./create_release_meter.ts";

/** A limit on the bytes that all holders of a budget buffer together. */
export interface ByteBudget {
  /** Opens an account without bytes. */
  open(): ByteAccount;
  /** Bytes of all accounts. */
  readonly usedBytes: number;
}

/** The bytes of one holder. */
export interface ByteAccount {
  /** Adds bytes unless the account would hold more than what is left for the others. */
  add(bytes: number): boolean;
  /** Returns all bytes to the budget; no more can be added. */
  close(): void;
}

/** Bytes of an account whose buffers count as large. */
const LARGE_BYTES = 65_536;

/**
 * Creates a budget. An account may hold no more bytes than are left, so that however many large ones
 * there are, a small one still finds room.
 */
export function createByteBudget(maxBytes: number, releases?: ReleaseMeter): ByteBudget {
  let usedBytes = 0;
  return {
    get usedBytes() {
      return usedBytes;
    },
    open: () => {
      let heldBytes = 0;
      let isClosed = false;
      return {
        add: (bytes) => {
          if (isClosed || heldBytes + bytes > maxBytes - usedBytes - bytes) {
            return false;
          }
          heldBytes += bytes;
          usedBytes += bytes;
          return true;
        },
        close: () => {
          isClosed = true;
          if (heldBytes >= LARGE_BYTES) {
            releases?.recordReleased(heldBytes);
          }
          usedBytes -= heldBytes;
          heldBytes = 0;
        },
      };
    },
  };
}
