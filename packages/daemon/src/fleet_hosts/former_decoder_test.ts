import { createHmac } from "node:crypto";
import { expect } from "chai";
import { pack, unpack } from "msgpackr";
import { z } from "zod";
import { decodeHostDatagram } from "./decode_host_datagram.ts";
import { encodeHostDatagram } from "./encode_host_datagram.ts";
import { encodeHostReport } from "./encode_host_report.ts";
import { HOST_REPORT_FIELDS } from "./host_report_fields.ts";
import type { HostReport } from "./host_report_schema.ts";
import { markIncarnation } from "./mark_incarnation.ts";
import { mergeReports } from "./merge_reports.ts";

const KEY = "0123456789abcdef0123456789abcdef";
const SENDER = { address: "10.0.0.9:7200", dataCentre: "b" };
const SIGNATURE_BYTES = 8;

// The decoder and the schema as they are in b69a732, with its limits as plain numbers.
const name = z.string().max(200);
const text = z.string();
const number = z.number();
const amount = z.number().min(0);
const count = z.number().int().min(0);
const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/);
const loads = z.array(z.tuple([text, number, number, number])).max(512);
const limits = z.array(z.tuple([text, number, amount.nullable(), amount, amount])).max(64);
const FORMER_FIELDS = {
  host: name.min(1),
  incarnation: z.string().max(32),
  sequence: z.number().int(),
  intervalMs: z.number().int().positive().max(60_000),
  dataCentre: name,
  callerAddress: address,
  peerAddress: address,
  size: z.number().positive(),
  isReady: z.boolean(),
  isLeaving: z.boolean(),
  settingsVersion: count,
  settingsEra: count,
  knownHosts: z.number().int().min(1),
  knownInDataCentre: z.number().int().min(1),
  upstreamsAgeMs: amount.nullable(),
  loads,
  conduct: loads.nullable(),
  leaving: z.array(z.tuple([text, number, z.boolean()])).max(128),
  joined: z.array(z.tuple([text, text, text, text, number, number, number])).max(64),
  limits,
  brittle: limits,
  unreachableServices: z.array(name).max(64),
  notices: z.array(z.tuple([
    z.string().max(64),
    z.string().max(64),
    z.number().positive().max(3_600_000),
    z.unknown(),
  ])).max(8),
  peers: z.array(address).max(64),
};
const formerReportSchema = z.object(FORMER_FIELDS);
const formerBodySchema = z.tuple([
  z.string(),
  name,
  z.array(z.tuple([amount, z.instanceof(Uint8Array)])).max(512),
  z.array(z.tuple([z.string().max(64), z.unknown()])).max(16),
]);
type FormerReport = z.infer<typeof formerReportSchema>;

const FORMER_ORDER = Object.keys(FORMER_FIELDS) as (keyof FormerReport)[];

function encodeAsFormer(report: FormerReport): Uint8Array {
  return pack(FORMER_ORDER.map((field) => report[field]));
}

function decodeAsFormer(datagram: Uint8Array): FormerReport[] | undefined {
  const body = formerBodySchema.safeParse(decodeValue(datagram.subarray(SIGNATURE_BYTES)));
  if (!body.success) {
    return undefined;
  }
  const reports = body.data[2].map(([, bytes]) => {
    const fields = decodeValue(bytes);
    const report: Partial<Record<keyof FormerReport, unknown>> = {};
    FORMER_ORDER.forEach((field, index) =>
      report[field] = Array.isArray(fields) ? fields[index] : undefined
    );
    return formerReportSchema.safeParse(report).data;
  });
  const valid = reports.filter((report) => report !== undefined);
  return valid.length === reports.length ? valid : undefined;
}

function decodeValue(body: Uint8Array): unknown {
  try {
    return unpack(body);
  } catch {
    return undefined;
  }
}

const FORMER_REPORT: FormerReport = {
  host: "h1",
  incarnation: "0123456789abcdef",
  sequence: 70_000,
  intervalMs: 1_000,
  dataCentre: "a",
  callerAddress: "10.0.0.1:80",
  peerAddress: "10.0.0.1:7200",
  size: 1.35,
  isReady: true,
  isLeaving: false,
  settingsVersion: 3,
  settingsEra: 1,
  knownHosts: 69,
  knownInDataCentre: 18,
  upstreamsAgeMs: null,
  loads: [["u1", 2, 7_000.5, 3_000]],
  conduct: [["u1", 5.5, 8.25, 0.1]],
  leaving: [["u2", 12, false]],
  joined: [["u3", "desk", "10.0.0.7:80", "a", 4, 500, 13]],
  limits: [["u4", 12, 2.4, 90, 30], ["u5", 12, null, 90, 30]],
  brittle: [["u6", 12, 4, 90, 30]],
  unreachableServices: ["desk"],
  notices: [["t", "k", 500, { type: "seen" }]],
  peers: ["10.0.0.2:7200"],
};
const REPORT: HostReport = {
  ...FORMER_REPORT,
  incarnation: markIncarnation(FORMER_REPORT.incarnation, 1),
  protocolVersion: 1,
  evacuations: Array.from({ length: 64 }, (_, index) => [`dc-${index}`, 2, 2 ** 40, index < 2]),
  cold: Array.from({ length: 64 }, (_, index) => [`engine-${index}`, 1_764_872_000_000, 999]),
  waiting: Array.from({ length: 16 }, (_, index) => ["llm", index, 12, 3_079.5, 1_800]),
};

const send = (bytes: Uint8Array, isCompressed = false) =>
  encodeHostDatagram(SENDER, [{ bytes, ageMs: 4.6 }], KEY, [], isCompressed);
const decode = (datagram: Uint8Array) => decodeHostDatagram(datagram, KEY, () => false)?.reports[0];

// An unreadable datagram would cut off hosts that are replaced one after the other.
describe("datagrams between this build and b69a732", () => {
  it("has the former fields first, in their order", () => {
    expect(HOST_REPORT_FIELDS.slice(0, FORMER_ORDER.length)).to.deep.equal(FORMER_ORDER);
  });

  it("reads a report of the former build with defaults for the fields that it lacks", () => {
    expect(decode(send(encodeAsFormer(FORMER_REPORT)))?.report).to.deep.equal({
      ...FORMER_REPORT,
      protocolVersion: 0,
      evacuations: [],
      cold: [],
      waiting: [],
    });
  });

  it("sends reports, with all fields filled, that the former build reads", () => {
    expect(decodeAsFormer(send(encodeHostReport(REPORT))))
      .to.deep.equal([{ ...FORMER_REPORT, incarnation: REPORT.incarnation }]);
  });

  it("forwards a report of the former build, as received or merged, so that that build reads it", () => {
    const received = decode(send(encodeAsFormer(FORMER_REPORT)));
    expect(received?.bytes).to.deep.equal(encodeAsFormer(FORMER_REPORT));
    const later = { ...received?.report as HostReport, sequence: 70_001, conduct: null };
    const merged = mergeReports(received?.report as HostReport, later);
    expect(decodeAsFormer(send(encodeHostReport(merged))))
      .to.deep.equal([{ ...FORMER_REPORT, sequence: 70_001 }]);
  });

  it("knows the version of a host whose report a relay of the former build has forwarded", () => {
    const [forwarded] = decodeAsFormer(send(encodeHostReport(REPORT))) ?? [];
    const received = decode(send(encodeAsFormer(forwarded as FormerReport)));
    expect(received?.isPartial).to.equal(true);
    expect(received?.report)
      .to.deep.equal({ ...REPORT, evacuations: [], cold: [], waiting: [] });
    // Forwarded once more, it must not look as if its host had reported empty lists.
    const again = decode(send(encodeHostReport(received?.report as HostReport, true)));
    expect(again).to.deep.include({ isPartial: true, report: received?.report });
  });

  it("does not take a report of either build for a partial one", () => {
    expect(decode(send(encodeHostReport(REPORT)))).to.not.have.property("isPartial");
    expect(decode(send(encodeAsFormer(FORMER_REPORT)))).to.not.have.property("isPartial");
  });

  it("sends compressed datagrams that the former build rejects and this one reads", () => {
    const datagram = send(encodeHostReport(REPORT), true);
    expect(decodeAsFormer(datagram)).to.equal(undefined);
    expect(decode(datagram)?.report).to.deep.equal(REPORT);
  });

  it("signs as the former build does", () => {
    const datagram = send(encodeHostReport(REPORT));
    expect(datagram.subarray(0, SIGNATURE_BYTES))
      .to.deep.equal(
        createHmac("sha256", KEY).update(datagram.subarray(SIGNATURE_BYTES)).digest()
          .subarray(0, SIGNATURE_BYTES),
      );
  });
});
