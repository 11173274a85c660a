import { expect } from "chai";
import { decideStreamEnd } from "./decide_stream_end.ts";

describe("decideStreamEnd", () => {
  for (const framing of ["length", "chunks", "connection"] as const) {
    it(`accepts a stream that ends after an event, with framing by ${framing}`, () => {
      const end = decideStreamEnd({ framing, hasEvent: true, remainingBytes: 0 });
      expect(end.type).to.equal("complete");
    });

    it(`rejects a stream that ends within an event, with framing by ${framing}`, () => {
      for (const hasEvent of [true, false]) {
        const end = decideStreamEnd({ framing, hasEvent, remainingBytes: 1 });
        expect(end.type).to.equal("brokenOff");
      }
    });

    it(`accepts an empty stream only if its framing marks the end: ${framing}`, () => {
      const end = decideStreamEnd({ framing, hasEvent: false, remainingBytes: 0 });
      expect(end.type).to.equal(framing === "connection" ? "brokenOff" : "complete");
    });
  }
});
