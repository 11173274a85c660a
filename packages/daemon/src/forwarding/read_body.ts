import type { Clock, Timer } from "@crocussail/protocol";
import type { IncomingMessage } from "node:http";
import type { ByteAccount } from "../common/create_byte_budget.ts";
import { createByteCollector } from "../common/create_byte_collector.ts";
import type { BodyFraming } from "./body_framing.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import { dropBody } from "./drop_body.ts";

/** A complete request body, or the reason why there is none. */
export type BodyResult =
  | { readonly type: "complete"; readonly bytes: Uint8Array | undefined }
  | { readonly type: "tooLarge" | "badFraming" | "tooSlow" | "overloaded" | "callerLeft" };

/** Options of {@link readBody}. */
export interface BodyOptions {
  readonly clock: Clock;
  /** How its headers frame it; `connection` if there is none. */
  readonly framing: BodyFraming;
  /** Time for the whole body, in milliseconds. */
  readonly timeoutMs: number;
  readonly maxBytes: number;
  /** Takes the room of the body; closed unless the body is complete. */
  readonly account: ByteAccount;
}

/** Buffers a complete body, so that it can be resent and no upstream waits for a slow caller. */
export function readBody(incoming: IncomingMessage, options: BodyOptions): Promise<BodyResult> {
  return new Promise((resolve) => {
    const body = createByteCollector();
    const startBytes = incoming.socket.bytesRead;
    const isChunked = options.framing === "chunks";
    let framingTimer: Timer | undefined;
    let isSettled = false;
    const settle = (result: BodyResult) => {
      if (isSettled) {
        return;
      }
      isSettled = true;
      timer.cancel();
      framingTimer?.cancel();
      incoming.off("data", receive);
      if (result.type !== "complete") {
        options.account.close();
        result.type === "overloaded" ? incoming.pause() : dropBody(incoming);
      }
      resolve(result);
    };
    /** The parser bounds the size of each chunk's head, and not their number or leading zeros. */
    const checkFraming = () => {
      const framingBytes = incoming.socket.bytesRead - startBytes - body.size;
      if (
        framingBytes >
          FORWARDING_LIMITS.maxFramingBytes +
            body.size * FORWARDING_LIMITS.framingBytesPerBodyByte
      ) {
        settle({ type: "badFraming" });
      }
    };
    const watchFraming = () => {
      framingTimer = options.clock.startTimer(FORWARDING_LIMITS.framingCheckMs, () => {
        watchFraming();
        checkFraming();
      });
    };
    const receive = (chunk: Uint8Array) => {
      if (body.size + chunk.length > options.maxBytes) {
        settle({ type: "tooLarge" });
      } else if (options.account.add(chunk.length)) {
        body.add(chunk);
        checkFraming();
      } else {
        settle({ type: "overloaded" });
      }
    };
    const timer = options.clock.startTimer(options.timeoutMs, () => settle({ type: "tooSlow" }));
    if (isChunked) {
      watchFraming();
    }
    incoming.on("data", receive);
    incoming.once("end", () => {
      const hasBody = body.size > 0 || options.framing !== "connection";
      settle({ type: "complete", bytes: hasBody ? body.read() : undefined });
    });
    incoming.once("error", () => settle({ type: "callerLeft" }));
    incoming.once("close", () => settle({ type: "callerLeft" }));
  });
}
