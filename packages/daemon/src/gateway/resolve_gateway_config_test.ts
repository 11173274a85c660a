import { expect } from "chai";
import { resolveGatewayConfig } from "./resolve_gateway_config.ts";

const VALID = `[host]
name = front-1
data_centre = toledo
address = 10.1.0.19
size = 0.675

[listen]
callers = 10.1.0.19:8740
readiness = 10.1.0.19:8749
directory = 10.1.0.19:8746
peer_port = 7200
metrics_port = 9464

[peers]
seeds = 10.1.0.19:8748,10.2.0.13:8748

[fleet]
key = 0123456789abcdef0123456789abcdef

[settings_service]
address = 10.200.1.7:8742

[upstreams]
drain_ms = 2000

[retries]
ratio = 0.2
slack = 56
window_seconds = 10

[shutdown]
grace_seconds = 8

[directory]
max_ttl_seconds = 5
`;

describe("resolveGatewayConfig", () => {
  it("parses a valid file and freezes the result", () => {
    const config = resolveGatewayConfig("d.ini", VALID).unsafeCoerce();
    expect(config.peers.seeds).to.have.length(2);
    expect(config.host.size).to.equal(0.675);
    expect(config.host.speed).to.equal(1);
    expect(Object.isFrozen(config)).to.equal(true);
  });

  it("accepts a file without seeds, as for the first host of a fleet", () => {
    const text = VALID.replace("seeds = 10.1.0.19:8748,10.2.0.13:8748", "seeds =");
    expect(resolveGatewayConfig("d.ini", text).unsafeCoerce().peers.seeds).to.deep.equal([]);
  });

  const cases: readonly [string, string, string, RegExp][] = [
    [
      "a misspelt name",
      "window_seconds",
      "window_secs",
      /d\.ini:\d+: retries\.window_secs: unknown name; did you mean "window_seconds"/,
    ],
    ["a missing value", "ratio = 0.2", "", /d\.ini:\d+: retries\.ratio: value is missing/],
    ["a port out of range", "peer_port = 7200", "peer_port = 0", /d\.ini:11: listen\.peer_port/],
    [
      "a host name instead of an IP address",
      "address = 10.1.0.19\n",
      "address = front\n",
      /d\.ini:4: host/,
    ],
    ["a seed without a port", "10.2.0.13:8748", "10.2.0.13", /peers\.seeds: "10\.2\.0\.13"/],
    ["a short key", "0123456789abcdef0123456789abcdef", "short", /at least 32 characters/],
  ];
  for (const [title, from, to, expected] of cases) {
    it(`reports ${title}`, () => {
      const error = resolveGatewayConfig("d.ini", VALID.replace(from, to)).swap().unsafeCoerce();
      expect(error.detail).to.match(expected);
    });
  }
});
