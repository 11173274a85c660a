import { expect } from "chai";
import { createHeadMeter } from "./create_head_meter.ts";

describe("createHeadMeter", () => {
  it("counts a head until it is complete", () => {
    const meter = createHeadMeter();
    meter.receive(300);
    meter.receive(200);
    expect(meter.bytes).to.equal(500);
    meter.recordHead(500, 0);
    expect(meter.bytes).to.equal(0);
  });

  it("does not count a body, however it arrives, and counts the head behind it", () => {
    const meter = createHeadMeter();
    meter.receive(150);
    meter.recordHead(100, 80);
    expect(meter.bytes).to.equal(0);
    meter.receive(20);
    meter.receive(50);
    expect(meter.bytes).to.equal(40);
  });

  it("counts the head behind a request that arrived with it", () => {
    const meter = createHeadMeter();
    meter.receive(1_000);
    meter.recordHead(100, 200);
    expect(meter.bytes).to.equal(700);
    meter.recordHead(100, 0);
    expect(meter.bytes).to.equal(600);
  });

  it("counts what follows the last chunk of a body", () => {
    const meter = createHeadMeter();
    meter.receive(120);
    meter.recordHead(100, undefined);
    meter.recordChunk();
    expect(meter.bytes).to.equal(0);
    meter.receive(4_000);
    expect(meter.bytes).to.equal(4_000);
  });

  it("is not misled by a head that is counted as longer than it was", () => {
    const meter = createHeadMeter();
    meter.receive(100);
    meter.recordHead(110, 0);
    expect(meter.bytes).to.equal(0);
  });
});
