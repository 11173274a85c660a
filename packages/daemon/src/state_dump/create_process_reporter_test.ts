import type { MetricName } from "@crocussail/protocol";
import { expect } from "chai";
import { createManualClock } from "../common/create_manual_clock.ts";
import { createProcessReporter } from "./create_process_reporter.ts";

describe("createProcessReporter", () => {
  it("reports the CPU usage between two reports and the gauges of other modules", () => {
    const clock = createManualClock();
    const gauges: [MetricName, number][] = [];
    let cpuMs = 100;
    const reporter = createProcessReporter({
      clock,
      metrics: {
        increment: () => {},
        gauge: (name, value) => gauges.push([name, value]),
        distribution: () => {},
      },
      readUsage: () => ({ cpuMs, memoryBytes: 1_024, loopDelayMs: 3 }),
      gauges: { "members.live": () => 3 },
    });
    reporter.start();
    cpuMs = 600;
    clock.advance(10_000);
    expect(gauges).to.deep.equal([
      ["process.cpu", 0.05],
      ["process.memory", 1_024],
      ["process.loop_delay", 3],
      ["members.live", 3],
    ]);
    reporter.stop();
    clock.advance(60_000);
    expect(gauges).to.have.length(4);
  });
});
