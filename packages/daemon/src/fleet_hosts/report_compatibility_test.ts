import { expect } from "chai";
import { pack, unpack } from "msgpackr";
import { decodeHostDatagram } from "./decode_host_datagram.ts";
import { encodeHostDatagram } from "./encode_host_datagram.ts";
import { encodeHostReport } from "./encode_host_report.ts";
import type { HostReport } from "./host_report_schema.ts";

const KEY = "0123456789abcdef0123456789abcdef";
const SENDER = { address: "10.0.0.9:7200", dataCentre: "b" };

/** A report as the build of b69a732 sends it. */
const FORMER_FIELDS = [
  "h1",
  "i1",
  7,
  250,
  "a",
  "10.0.0.1:80",
  "10.0.0.1:7200",
  1,
  true,
  false,
  3,
  1,
  5,
  2,
  40,
  [["u1", 2, 7_000, 3_000]],
  [["u1", 5.5, 8.25, 0.1]],
  [["u2", 12, false]],
  [["u3", "desk", "10.0.0.7:80", "a", 4, 500, 13]],
  [["u4", 12, 2.4, 90, 30]],
  [["u6", 12, 4, 90, 30]],
  ["desk"],
  [["t", "k", 500, { type: "seen" }]],
  ["10.0.0.2:7200"],
];

function decodeFields(fields: readonly unknown[]): HostReport | undefined {
  const datagram = encodeHostDatagram(SENDER, [{ bytes: pack(fields), ageMs: 5 }], KEY);
  return decodeHostDatagram(datagram, KEY)?.reports[0]?.report;
}

describe("reports between hosts of two builds", () => {
  it("reads a report of the former build, with defaults for the fields that it lacks", () => {
    const report = decodeFields(FORMER_FIELDS);
    expect(report).to.include({ host: "h1", sequence: 7, protocolVersion: 0 });
    expect(report).to.deep.include({ evacuations: [], cold: [], waiting: [] });
  });

  it("keeps the fields of the former build at their places", () => {
    const report = decodeFields(FORMER_FIELDS);
    const fields: unknown[] = unpack(encodeHostReport(report as HostReport));
    expect(fields.slice(0, FORMER_FIELDS.length)).to.deep.equal(FORMER_FIELDS);
  });

  it("ignores fields that a later build appends", () => {
    const fields = [...FORMER_FIELDS, 2, [], [], [], "field of a later build"];
    expect(decodeFields(fields)).to.include({ host: "h1", protocolVersion: 2 });
  });
});
