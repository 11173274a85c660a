import { expect } from "chai";
import fc from "fast-check";
import { findEventId } from "./find_event_id.ts";
import { splitEvents } from "./split_events.ts";

describe("splitEvents", () => {
  it("returns the same events for any chunk boundaries, and loses no byte", () => {
    const line = fc.constantFrom("id: 1\n", "data: x\n", "data: \n", "data: y\r\n", ": note\n");
    const block = fc.tuple(fc.array(line, { minLength: 1 }), fc.constantFrom("\n", "\r\n"));
    fc.assert(fc.property(
      fc.array(block),
      fc.array(fc.integer({ min: 1, max: 7 }), { minLength: 1 }),
      fc.constantFrom("", "id: 9", "id: 9\n"),
      (blocks, sizes, tail) => {
        const texts = blocks.map(([lines, end]) => lines.join("") + end);
        const bytes = Buffer.from(texts.join("") + tail);
        let remaining: Uint8Array = new Uint8Array();
        const events: string[] = [];
        for (let start = 0, chunkIndex = 0; start < bytes.length; chunkIndex++) {
          const size = sizes[chunkIndex % sizes.length] ?? 1;
          const split = splitEvents(remaining, bytes.subarray(start, start + size));
          split.events.forEach((event) => events.push(Buffer.from(event).toString()));
          remaining = split.remaining;
          start += size;
        }
        expect(events).to.deep.equal(texts);
        expect(Buffer.from(remaining).toString()).to.equal(tail);
      },
    ));
  });

  it("finds an event id on any line, and ignores one in the data", () => {
    expect(findEventId(Buffer.from("id: 12\ndata: x\n\n"))).to.equal(12);
    expect(findEventId(Buffer.from("weight-versions: 3\nid:7\ndata: x\n\n"))).to.equal(7);
    expect(findEventId(Buffer.from("data: id: 5\n\n"))).to.equal(undefined);
  });
});
