import { expect } from "chai";
import fc from "fast-check";
import { HOST_REPORT_FIELDS } from "./host_report_fields.ts";
import { hostReportSchema } from "./host_report_schema.ts";
import type { HostReport } from "./host_report_schema.ts";
import { isHostReport } from "./is_host_report.ts";

const VALID: HostReport = {
  host: "h1",
  incarnation: "i1",
  sequence: 1,
  intervalMs: 250,
  dataCentre: "a",
  callerAddress: "10.0.0.1:80",
  peerAddress: "10.0.0.1:7200",
  size: 1,
  isReady: true,
  isLeaving: false,
  settingsVersion: 3,
  settingsEra: 1,
  knownHosts: 5,
  knownInDataCentre: 2,
  upstreamsAgeMs: 40,
  loads: [["u1", 2, 7_000, 3_000]],
  conduct: [["u1", 5.5, 8.25, 0.1]],
  leaving: [["u2", 12, false]],
  joined: [["u3", "desk", "10.0.0.7:80", "a", 4, 500, 13]],
  limits: [["u4", 12, 2.4, 90, 30]],
  brittle: [["u6", 12, 4, 90, 30]],
  unreachableServices: ["desk"],
  notices: [["t", "k", 500, { type: "seen" }]],
  peers: ["10.0.0.2:7200"],
  protocolVersion: 1,
  evacuations: [["a", 1, 90, true]],
  cold: [["u7", 12, 800]],
  waiting: [["llm", 0, 3, 2_550, 120]],
};
const ODD_VALUES = [
  undefined,
  null,
  true,
  "",
  "x",
  "x".repeat(33),
  "x".repeat(65),
  "x".repeat(201),
  "10.0.0.1:80",
  "10.0.0.1:80\n",
  "10.0.0.1",
  0,
  1,
  -1,
  0.5,
  60_000,
  60_001,
  3_600_001,
  2 ** 53,
  -(2 ** 53),
  1e300,
  Number.NaN,
  Number.POSITIVE_INFINITY,
  12n,
  new Date(0),
  [],
  {},
  Uint8Array.of(1),
];

/** Lists the ways to put a value into a field, one of its entries or one of their elements. */
function listAlterations(field: keyof HostReport, value: unknown): unknown[] {
  const current: unknown = VALID[field];
  if (!Array.isArray(current)) {
    return [value];
  }
  const entry: unknown = current[0];
  const tuple = Array.isArray(entry) ? entry : [];
  return [
    value,
    [value],
    [entry, value],
    ...tuple.map((_element, index) => [tuple.with(index, value)]),
    [[...tuple, value]],
    [tuple.slice(0, -1)],
    ...[8, 9, 12, 16, 17, 64, 65, 128, 129, 512, 513].map((length) => Array(length).fill(entry)),
  ];
}

/** Compares the check with the schema; fields that are absent have been given their defaults. */
function compareWithSchema(report: Readonly<Record<keyof HostReport, unknown>>): void {
  const hasDefaults = ["protocolVersion", "evacuations", "cold", "waiting"] as const;
  if (hasDefaults.every((field) => report[field] !== undefined)) {
    expect(isHostReport(report)).to.equal(hostReportSchema.safeParse(report).success);
  }
}

describe("isHostReport", () => {
  it("accepts a valid report and one with nulls", () => {
    expect(isHostReport(VALID)).to.equal(true);
    expect(isHostReport({ ...VALID, conduct: null, upstreamsAgeMs: null })).to.equal(true);
  });

  it("agrees with the schema on each odd value in each place", () => {
    for (const field of HOST_REPORT_FIELDS) {
      for (const value of ODD_VALUES) {
        listAlterations(field, value).forEach((altered) => {
          compareWithSchema({ ...VALID, [field]: altered });
        });
      }
    }
  });

  it("agrees with the schema on random values in any field", () => {
    fc.assert(fc.property(
      fc.constantFrom(...HOST_REPORT_FIELDS),
      fc.anything(),
      (field, value) => compareWithSchema({ ...VALID, [field]: value }),
    ));
  });
});
