import { expect } from "chai";
import { createPeerTraffic } from "./create_peer_traffic.ts";

describe("createPeerTraffic", () => {
  it("counts frames and bytes by channel, but not dropped frames", () => {
    const traffic = createPeerTraffic();
    traffic.recordSent("orders", 100);
    traffic.recordSent("orders", 0);
    traffic.recordReceived("orders", 40);
    expect(traffic.dumpState()).to.deep.equal({
      orders: { sentFrames: 1, sentBytes: 100, receivedFrames: 1, receivedBytes: 40 },
    });
  });

  it("counts all channels beyond the limit under one name", () => {
    const traffic = createPeerTraffic();
    for (let index = 0; index < 100; index++) {
      traffic.recordReceived(`channel-${index}`, 1);
    }
    const counted = Object.values(traffic.dumpState()).map(({ receivedBytes }) => receivedBytes);
    expect(counted).to.have.length(33);
    expect(counted.reduce((sum, bytes) => sum + bytes, 0)).to.equal(100);
  });
});
