import { expect } from "chai";
import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import { once } from "node:events";
import { createStatsdMetrics } from "./create_statsd_metrics.ts";

describe("createStatsdMetrics", () => {
  let server: Socket;

  beforeEach(async () => {
    server = createSocket("udp4");
    server.bind(0, "127.0.0.1");
    await once(server, "listening");
  });

  afterEach(() => server.close());

  it("sends each metric type with prefix and tags", async () => {
    const { port } = server.address();
    const metrics = createStatsdMetrics({ host: "127.0.0.1", port, tags: { host: "host-1" } });
    const received: string[] = [];
    const arrived = new Promise<void>((resolve) => {
      server.on("message", (data) => {
        received.push(String(data).trim());
        if (received.length === 3) {
          resolve();
        }
      });
    });
    metrics.increment("requests", 2, { status: "200" });
    metrics.gauge("members.live", 3);
    metrics.distribution("request.duration", 1.5);
    await arrived;
    expect(received).to.have.members([
      "crocussail.requests:2|c|#host:host-1,status:200",
      "crocussail.members.live:3|g|#host:host-1",
      "crocussail.request.duration:1.5|d|#host:host-1",
    ]);
  });
});
