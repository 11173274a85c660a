import { expect } from "chai";
import { createSeededRandom } from "../common/create_seeded_random.ts";
import { applyHostReport } from "./apply_host_report.ts";
import { chooseAddresses } from "./choose_addresses.ts";
import { computeReportInterval } from "./compute_report_interval.ts";
import { HOST_LIMITS } from "./constants.ts";
import { decodeHostDatagram } from "./decode_host_datagram.ts";
import { encodeHostDatagram } from "./encode_host_datagram.ts";
import { encodeHostReport } from "./encode_host_report.ts";
import { expireHosts } from "./expire_hosts.ts";
import type { HostDatagram } from "./host_datagram.ts";
import type { HostReport } from "./host_report_schema.ts";
import type { HostState } from "./host_state.ts";
import { listLiveHosts } from "./list_live_hosts.ts";

const KEY = "0123456789abcdef0123456789abcdef";

const createReport = (change: Partial<HostReport> = {}): HostReport => ({
  host: "h1",
  incarnation: "i1",
  sequence: 1,
  intervalMs: HOST_LIMITS.reportIntervalMs,
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
  limits: [["u4", 12, 2.4, 90, 30], ["u5", 12, null, 90, 30]],
  brittle: [["u6", 12, 4, 90, 30]],
  unreachableServices: ["desk"],
  notices: [["t", "k", 500, { type: "seen" }]],
  peers: ["10.0.0.2:7200"],
  protocolVersion: 1,
  evacuations: [["a", 1, 90, true]],
  cold: [["u7", 12, 800]],
  waiting: [["llm", 0, 3, 2_550, 120]],
  ...change,
});

describe("host reports", () => {
  const createState = (): HostState => ({ hosts: new Map(), addresses: new Map() });

  const DATAGRAM: HostDatagram = {
    senderAddress: "10.0.0.9:7200",
    senderDataCentre: "b",
    reports: [
      { report: createReport(), ageMs: 0 },
      { report: createReport({ host: "h2", conduct: null }), ageMs: 120 },
    ],
    messages: [{ topic: "t", payload: { type: "request" } }],
  };

  const encode = () =>
    encodeHostDatagram(
      { address: DATAGRAM.senderAddress, dataCentre: DATAGRAM.senderDataCentre },
      DATAGRAM.reports.map(({ report, ageMs }) => ({ bytes: encodeHostReport(report), ageMs })),
      KEY,
      DATAGRAM.messages,
    );

  it("are decoded as they were encoded, and only with the fleet's key", () => {
    const datagram = encode();
    expect(decodeHostDatagram(datagram, KEY)).to.deep.equal(DATAGRAM);
    expect(decodeHostDatagram(datagram, KEY.replace("0", "1"))).to.equal(undefined);
  });

  it("are rejected when any byte is wrong or missing", () => {
    const datagram = encode();
    for (let index = 0; index < datagram.length; index++) {
      const changed = Uint8Array.from(datagram);
      changed[index] = (changed[index] ?? 0) ^ 1;
      expect(decodeHostDatagram(changed, KEY)).to.equal(undefined);
      expect(decodeHostDatagram(datagram.subarray(0, index), KEY)).to.equal(undefined);
    }
  });

  it("are ignored when they are late or repeated", () => {
    const state = createState();
    expect(applyHostReport(state, createReport({ sequence: 5 }), 0)).to.equal(true);
    expect(applyHostReport(state, createReport({ sequence: 4 }), 1)).to.equal(false);
    expect(applyHostReport(state, createReport({ sequence: 5 }), 1)).to.equal(false);
    expect(applyHostReport(state, createReport({ incarnation: "i2" }), 1)).to.equal(true);
    // A relay may forward a report of the ended process after the first one of the next.
    expect(applyHostReport(state, createReport({ sequence: 9 }), 0)).to.equal(false);
    expect([...state.addresses.keys()]).to.have.members(["10.0.0.1:7200", "10.0.0.2:7200"]);
  });

  it("are sent less often in a large fleet, where a host stays live for longer", () => {
    expect([1, 8, 20, 81, 195, 400].map(computeReportInterval))
      .to.deep.equal([250, 250, 250, 1_000, 1_950, 4_000]);
    const state = createState();
    applyHostReport(state, createReport({ intervalMs: 1_000 }), 0);
    expect(listLiveHosts(state, 2_500)).to.have.length(1);
    expect(listLiveHosts(state, 2_501)).to.have.length(0);
  });

  it("keep a host live for a second and stored for a minute", () => {
    const state = createState();
    applyHostReport(state, createReport(), 0);
    expect(listLiveHosts(state, HOST_LIMITS.liveMs)).to.have.length(1);
    expect(listLiveHosts(state, HOST_LIMITS.liveMs + 1)).to.have.length(0);
    expireHosts(state, new Set(["10.0.0.2:7200"]), HOST_LIMITS.removeAfterMs + 1);
    expect(state.hosts.size).to.equal(0);
    expect([...state.addresses.keys()]).to.deep.equal(["10.0.0.2:7200"]);
  });
});

describe("chooseAddresses", () => {
  const random = createSeededRandom(3);

  it("returns only hosts that are ready and not draining", () => {
    const hosts = [
      createReport({ callerAddress: "10.0.0.1:80" }),
      createReport({ callerAddress: "10.0.0.2:80", isReady: false }),
      createReport({ callerAddress: "10.0.0.3:80", isLeaving: true }),
    ];
    expect(chooseAddresses(hosts, random)).to.deep.equal(["10.0.0.1:80"]);
    expect(chooseAddresses(hosts.slice(1), random)).to.deep.equal([]);
  });

  it("returns at most 64 addresses, and hosts of half the size half as often", () => {
    const hosts = Array.from(
      { length: 100 },
      (_, index) =>
        createReport({ callerAddress: `10.0.1.${index}:80`, size: index < 50 ? 1 : 0.5 }),
    );
    let large = 0;
    let small = 0;
    for (let round = 0; round < 400; round++) {
      const addresses = chooseAddresses(hosts, random);
      expect(addresses.length).to.be.at.most(64);
      large += addresses.filter((address) => Number(address.split(/[.:]/)[3]) < 50).length;
      small += addresses.filter((address) => Number(address.split(/[.:]/)[3]) >= 50).length;
    }
    expect(small / large).to.be.within(0.35, 0.65);
  });
});
