import { expect } from "chai";
import { deflateRawSync } from "node:zlib";
import { HOST_LIMITS } from "./constants.ts";
import { createReportSender } from "./create_report_sender.ts";
import { decodeHostDatagram } from "./decode_host_datagram.ts";
import type { AgedReport } from "./host_datagram.ts";
import type { HostReport } from "./host_report_schema.ts";
import { signDatagram } from "./sign_datagram.ts";

const KEY = "0123456789abcdef0123456789abcdef";
const SENDER = { address: "10.0.0.9:7200", dataCentre: "b" };
const OLD = "10.0.1.1:7200";
const NEW = "10.0.1.2:7200";

const createReport = (index: number): HostReport => ({
  host: `h${index}`,
  incarnation: "i1",
  sequence: 7,
  intervalMs: 1_000,
  dataCentre: "a",
  callerAddress: `10.0.0.${index}:80`,
  peerAddress: `10.0.0.${index}:7200`,
  size: 1,
  isReady: true,
  isLeaving: false,
  settingsVersion: 3,
  settingsEra: 1,
  knownHosts: 5,
  knownInDataCentre: 2,
  upstreamsAgeMs: 40,
  loads: [[`u${index}`, 2, 7_000 + index, 3_000]],
  conduct: [["u1", 5.5 + index, 8.25, 0.1], ["u2", 5.25, 8 + index, 0.1]],
  leaving: [],
  joined: [],
  limits: [],
  brittle: [],
  unreachableServices: [],
  notices: [],
  peers: [],
  protocolVersion: 1,
  evacuations: [],
  cold: [],
  waiting: [],
});
const createReports = (count: number): AgedReport[] =>
  Array.from({ length: count }, (_, index) => ({ report: createReport(index), ageMs: index }));

/** Sends reports to hosts of both builds and lists the datagrams that each receives. */
function sendToBoth(count: number): Map<string, Uint8Array[]> {
  const sent = new Map<string, Uint8Array[]>([[OLD, []], [NEW, []]]);
  const { sendReports } = createReportSender({
    sender: SENDER,
    fleetKey: KEY,
    sendDatagram: (address, datagram) => sent.get(address)?.push(datagram),
    listCompressionReaders: () => new Set([NEW]),
  });
  sendReports([OLD, NEW, SENDER.address], createReports(count));
  return sent;
}

const isCompressed = (datagram: Uint8Array) =>
  datagram[HOST_LIMITS.signatureBytes] === HOST_LIMITS.compressedMark;
const decodeAll = (datagrams: readonly Uint8Array[] = []) =>
  datagrams.flatMap((datagram) => decodeHostDatagram(datagram, KEY)?.reports ?? []);

describe("sending of reports", () => {
  it("compresses what needs several datagrams, but not for hosts of the former build", () => {
    const sent = sendToBoth(24);
    expect(sent.get(NEW)).to.have.length(1);
    expect(sent.get(OLD)?.some(isCompressed)).to.equal(false);
    expect(decodeAll(sent.get(NEW))).to.deep.equal(createReports(24));
    expect(decodeAll(sent.get(OLD))).to.deep.equal(createReports(24));
  });

  it("does not compress what fits into one datagram", () => {
    expect(sendToBoth(2).get(NEW)?.map(isCompressed)).to.deep.equal([false]);
  });

  it("sends no datagram that exceeds a packet, with the reports of 195 hosts", () => {
    const sent = sendToBoth(195);
    for (const datagram of [...sent.values()].flat()) {
      expect(datagram.length).to.be.at.most(1_472);
    }
    expect(decodeAll(sent.get(NEW))).to.have.length(195);
  });

  it("sends a received report as it was, with the fields of a later build", () => {
    const sent: Uint8Array[] = [];
    const { sendReports } = createReportSender({
      sender: SENDER,
      fleetKey: KEY,
      sendDatagram: (_address, datagram) => sent.push(datagram),
      listCompressionReaders: () => new Set(),
    });
    const bytes = Uint8Array.of(1, 2, 3);
    sendReports([OLD], [{ report: createReport(1), ageMs: 0, bytes }]);
    expect(Buffer.from(sent[0] ?? []).includes(Buffer.from(bytes))).to.equal(true);
  });
});

describe("compressed datagrams", () => {
  const sign = (body: Uint8Array) => Buffer.concat([signDatagram(body, KEY), body]);
  const mark = Uint8Array.of(HOST_LIMITS.compressedMark);

  it("are rejected when any byte is wrong or missing", () => {
    const [datagram = mark] = sendToBoth(24).get(NEW) ?? [];
    for (let index = 0; index < datagram.length; index++) {
      const changed = Uint8Array.from(datagram);
      changed[index] = (changed[index] ?? 0) ^ 1;
      expect(decodeHostDatagram(changed, KEY)).to.equal(undefined);
      expect(decodeHostDatagram(datagram.subarray(0, index), KEY)).to.equal(undefined);
    }
  });

  it("are rejected when they hold no deflate data or inflate without bound", () => {
    const bomb = deflateRawSync(Buffer.alloc(64 * HOST_LIMITS.maxInflatedBytes));
    expect(decodeHostDatagram(sign(mark), KEY)).to.equal(undefined);
    expect(decodeHostDatagram(sign(Buffer.concat([mark, Buffer.alloc(9, 7)])), KEY))
      .to.equal(undefined);
    expect(decodeHostDatagram(sign(Buffer.concat([mark, bomb])), KEY)).to.equal(undefined);
  });
});
