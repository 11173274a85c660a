import { expect } from "chai";
import fc from "fast-check";
import { createEventSplitter } from "./create_event_splitter.ts";
import { findEventId } from "./find_event_id.ts";

describe("createEventSplitter", () => {
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
        const splitter = createEventSplitter();
        const events: string[] = [];
        for (let start = 0, chunkIndex = 0; start < bytes.length; chunkIndex++) {
          const size = sizes[chunkIndex % sizes.length] ?? 1;
          const completed = splitter.add(bytes.subarray(start, start + size));
          completed.forEach((event) => events.push(Buffer.from(event).toString()));
          start += size;
        }
        expect(events).to.deep.equal(texts);
        expect(splitter.countRemaining()).to.equal(tail.length);
        const end = splitter.add(Buffer.from(tail.endsWith("\n") ? "\n" : "\n\n"));
        expect(Buffer.concat(end).toString().startsWith(tail)).to.equal(true);
      },
    ));
  });

  it("reads an event in a million chunks at once", () => {
    const splitter = createEventSplitter();
    const startMs = performance.now();
    const byte = Buffer.from("x");
    for (let index = 0; index < 1_000_000; index++) {
      splitter.add(byte);
    }
    expect(splitter.add(Buffer.from("\n\n"))[0]?.length).to.equal(1_000_002);
    expect(performance.now() - startMs).to.be.below(2_000);
  });

  it("finds an event id on any line, and ignores one in the data", () => {
    expect(findEventId(Buffer.from("id: 12\ndata: x\n\n"))).to.equal(12);
    expect(findEventId(Buffer.from("weight-versions: 3\nid:7\ndata: x\n\n"))).to.equal(7);
    expect(findEventId(Buffer.from("data: id: 5\n\n"))).to.equal(undefined);
  });
});
