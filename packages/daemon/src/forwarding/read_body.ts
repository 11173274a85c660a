import type { Clock } from "@crocussail/protocol";
import type { IncomingMessage } from "node:http";
import { FORWARDING_LIMITS } from "./constants.ts";

/** A complete request body, or the reason why there is none. */
export type BodyResult =
  | { readonly type: "complete"; readonly bytes: Uint8Array | undefined }
  | { readonly type: "tooLarge" | "tooSlow" | "overloaded" | "callerLeft" };

/** Options of {@link readBody}. */
export interface BodyOptions {
  readonly clock: Clock;
  /** Time for the whole body, in milliseconds. */
  readonly timeoutMs: number;
  readonly maxBytes: number;
  /** Reads the total size of the other bodies that this host buffers. */
  readonly readBufferedBytes: () => number;
}

/** Buffers a complete body, so that it can be resent and no upstream waits for a slow caller. */
export function readBody(incoming: IncomingMessage, options: BodyOptions): Promise<BodyResult> {
  return new Promise((resolve) => {
    const chunks: Uint8Array[] = [];
    let size = 0;
    const settle = (result: BodyResult) => {
      timer.cancel();
      incoming.off("data", receive);
      if (result.type !== "complete") {
        incoming.resume();
      }
      resolve(result);
    };
    const receive = (chunk: Uint8Array) => {
      size += chunk.length;
      chunks.push(chunk);
      if (size > options.maxBytes) {
        settle({ type: "tooLarge" });
      } else if (size + options.readBufferedBytes() > FORWARDING_LIMITS.maxBufferedBytes) {
        settle({ type: "overloaded" });
      }
    };
    const timer = options.clock.startTimer(options.timeoutMs, () => settle({ type: "tooSlow" }));
    incoming.on("data", receive);
    incoming.once("end", () => {
      const hasBody = size > 0 || incoming.headers["content-length"] !== undefined ||
        incoming.headers["transfer-encoding"] !== undefined;
      settle({ type: "complete", bytes: hasBody ? Buffer.concat(chunks) : undefined });
    });
    incoming.once("error", () => settle({ type: "callerLeft" }));
    incoming.once("close", () => settle({ type: "callerLeft" }));
  });
}
