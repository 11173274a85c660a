import { expect } from "chai";
import { PEER_LIMITS } from "./constants.ts";
import { decideDialBackoff } from "./decide_dial_backoff.ts";
import type { DialFailures } from "./dial_failures.ts";
import { decodePeerFrame } from "./decode_peer_frame.ts";
import { encodePeerFrame } from "./encode_peer_frame.ts";
import type { PeerFrame } from "./peer_frame.ts";

const MAX_BACKOFF_MS = PEER_LIMITS.minBackoffMs * 2 ** PEER_LIMITS.maxDoublings;

describe("peer connections", () => {
  it("double the backoff after each failed dial, up to the maximum", () => {
    let failures: DialFailures | undefined;
    const waits = Array.from({ length: 10 }, () => {
      failures = decideDialBackoff(failures, 1_000, 1);
      return failures.retryAtMs - 1_000;
    });
    expect(waits.slice(0, 3)).to.deep.equal([1, 2, 4].map((n) => n * PEER_LIMITS.minBackoffMs));
    expect(waits.at(-1)).to.equal(MAX_BACKOFF_MS);
  });

  const frames: PeerFrame[] = [
    { type: "message", channel: "m", body: [1] },
    { type: "request", channel: "m", id: 7, body: { a: 1 } },
    { type: "reply", id: 7, body: null },
    { type: "failure", id: 7, detail: "no" },
  ];
  for (const frame of frames) {
    it(`encode and decode a ${frame.type} without changes`, () => {
      expect(decodePeerFrame(encodePeerFrame(frame))).to.deep.equal(frame);
    });
  }

  for (const bytes of [[], [0xc1], [0x93, 9, 1, 1], [0x92, 0, 1]]) {
    it(`reject the malformed frame ${JSON.stringify(bytes)}`, () => {
      expect(decodePeerFrame(Uint8Array.from(bytes))).to.equal(undefined);
    });
  }
});
