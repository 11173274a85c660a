import { expect } from "chai";
import { applyUpstreamRecord, createUpstreamState } from "../upstreams/mod.ts";
import type { UpstreamRecord } from "../upstreams/mod.ts";
import { digestForwardedRequest } from "./digest_forwarded_request.ts";
import { recordUpstreamLoss } from "./record_upstream_loss.ts";

const createRecord = (change: Partial<UpstreamRecord> = {}): UpstreamRecord => ({
  id: "u1",
  service: "desk",
  address: "10.0.0.1:80",
  dataCentre: "a",
  slots: 4,
  isLeaving: false,
  slowForMs: 0,
  sequence: 0,
  startedAt: 1,
  ...change,
});

describe("recordUpstreamLoss", () => {
  const reachability = {
    isUnreachable: () => false,
    isCutOff: () => false,
    verifyLinks: () => Promise.resolve(true),
    hasCrashed: () => Promise.resolve(true),
  };
  const recordLosses = async (...records: readonly UpstreamRecord[]) => {
    const upstreams = createUpstreamState();
    const crashedStartKeys: string[] = [];
    const quarantine = {
      isQuarantined: () => false,
      recordRequestEnd: () => {},
      recordUpstreamCrash: (upstream: string) => {
        crashedStartKeys.push(upstream);
        return Promise.resolve();
      },
    };
    for (const record of records) {
      applyUpstreamRecord(upstreams, record, 0);
      const upstream = upstreams.upstreams.get(record.id);
      if (upstream !== undefined) {
        await recordUpstreamLoss(
          { quarantine, upstreams, reachability },
          { fingerprint: "f" },
          upstream,
        );
      }
    }
    return crashedStartKeys;
  };

  it("records losses of an upstream before and after a restart under different keys", async () => {
    expect(await recordLosses(createRecord(), createRecord({ startedAt: 2 })))
      .to.deep.equal(["u1@1", "u1@2"]);
  });

  it("does not record the loss of a draining upstream, which closes its connections", async () => {
    expect(await recordLosses(createRecord({ isLeaving: true }))).to.deep.equal([]);
  });
});

describe("digestForwardedRequest", () => {
  const request = { team: "clerks", method: "POST", target: "/a", body: Buffer.from("b") };

  it("is equal for a repeated request, with or without a body", () => {
    expect(digestForwardedRequest({ ...request })).to.equal(digestForwardedRequest(request));
    const read = { ...request, method: "GET", body: undefined };
    expect(digestForwardedRequest(read)).to.equal(digestForwardedRequest({ ...read }));
  });

  const others: readonly [string, Partial<typeof request> | { readonly team: undefined }][] = [
    ["of another team", { team: "others" }],
    ["of no team", { team: undefined }],
    ["of another method", { method: "PUT" }],
    ["of another target", { target: "/a?x=1" }],
    ["of another body", { body: Buffer.from("c") }],
  ];
  for (const [title, change] of others) {
    it(`differs for a request ${title}`, () => {
      expect(digestForwardedRequest({ ...request, ...change }))
        .not.to.equal(digestForwardedRequest(request));
    });
  }
});
