import { expect } from "chai";
import type { HostReport } from "./host_report_schema.ts";
import type { KnownHost } from "./host_state.ts";
import { listCompressionReaders } from "./list_compression_readers.ts";

const createKnown = (
  peerAddress: string,
  protocolVersion: number,
  lastReportMs: number,
): KnownHost => ({
  report: { peerAddress, protocolVersion } as HostReport,
  lastReportMs,
});

describe("listCompressionReaders", () => {
  it("lists the addresses of hosts that report the version", () => {
    const hosts = new Map([
      ["h1", createKnown("10.0.0.1:7200", 1, 10)],
      ["h2", createKnown("10.0.0.2:7200", 0, 10)],
    ]);
    expect(listCompressionReaders({ hosts })).to.deep.equal(new Set(["10.0.0.1:7200"]));
  });

  // Otherwise a host that was replaced by the former build could read no batch for a minute.
  it("omits an address where a host of an earlier build has replaced one of this build", () => {
    const before = createKnown("10.0.0.1:7200", 1, 10);
    const after = createKnown("10.0.0.1:7200", 0, 20);
    for (const hosts of [[before, after], [after, before]]) {
      const state = { hosts: new Map(hosts.map((known, index) => [`h${index}`, known])) };
      expect(listCompressionReaders(state)).to.deep.equal(new Set());
    }
  });

  it("lists an address where a host of this build has replaced one of an earlier build", () => {
    const hosts = new Map([
      ["h1", createKnown("10.0.0.1:7200", 0, 10)],
      ["h2", createKnown("10.0.0.1:7200", 1, 20)],
    ]);
    expect(listCompressionReaders({ hosts })).to.deep.equal(new Set(["10.0.0.1:7200"]));
  });
});
