import type { ResultError } from "@crocussail/protocol";
import { expect } from "chai";
import type { Either } from "purify-ts";
import type { Admission, AdmissionGrant, AdmissionRequest } from "./admission.ts";
import { ADMISSION_LIMITS } from "./constants.ts";
import { findOwner } from "./find_owner.ts";
import { createAdmissionFleet } from "./testing/create_admission_fleet.ts";
import type { AdmissionFleet } from "./testing/create_admission_fleet.ts";

const HOSTS = ["host-1", "host-2", "host-3"];
const CANDIDATES = HOSTS.map((host) => ({ host, dataCentre: "suva" }));
const OWNER = findOwner("plan-1", "suva", CANDIDATES) as string;
const OTHERS = HOSTS.filter((host) => host !== OWNER);
const ENTRY = OTHERS[0] as string;

/** A grant request whose result can be inspected while it is pending. */
interface PendingGrant {
  result?: Either<ResultError, AdmissionGrant>;
}

function getHost(fleet: AdmissionFleet, host: string): Admission {
  return fleet.hosts.get(host) as Admission;
}

function requestGrant(
  fleet: AdmissionFleet,
  id: string,
  changes: Partial<AdmissionRequest> = {},
  host = ENTRY,
): PendingGrant {
  const pending: PendingGrant = {};
  getHost(fleet, host).requestGrant(fleet.makeRequest(id, changes)).then((result) => {
    pending.result = result;
  });
  return pending;
}

function describeResult({ result }: PendingGrant): string {
  return result === undefined ? "waits" : result.caseOf({
    Left: (error) => `${error.code} ran=${error.ran}`,
    Right: ({ upstream }) => upstream,
  });
}

/** Fills the one engine, whose memory holds two requests, and returns the grants. */
async function claimEngine(fleet: AdmissionFleet): Promise<AdmissionGrant[]> {
  const pending = ["a", "b"].map((id) => requestGrant(fleet, id));
  await fleet.advance(100);
  return pending.map(({ result }) => result?.extract() as AdmissionGrant);
}

describe("admission fleet", () => {
  let fleet: AdmissionFleet;

  beforeEach(async () => {
    fleet = await createAdmissionFleet({ hosts: HOSTS, engines: 1 });
  });

  it("counts grants over all entry daemons and grants the next request on release", async () => {
    const pending = HOSTS.map((host, index) => requestGrant(fleet, `r${index}`, {}, host));
    await fleet.advance(100);
    expect(pending.map(describeResult).sort()).to.deep.equal(["plan-1", "plan-1", "waits"]);
    const granted = pending.find(({ result }) => result?.isRight());
    (granted?.result?.extract() as AdmissionGrant).release("finished");
    await fleet.advance(100);
    expect(pending.map(describeResult)).to.deep.equal(["plan-1", "plan-1", "plan-1"]);
  });

  it("releases a grant only once when release is called repeatedly", async () => {
    const [first] = await claimEngine(fleet);
    const waiting = ["c", "d"].map((id) => requestGrant(fleet, id));
    await fleet.advance(100);
    first?.release("finished");
    first?.release("cancelled");
    await fleet.advance(100);
    expect(waiting.map(describeResult)).to.deep.equal(["plan-1", "waits"]);
  });

  it("moves waiting requests to the new owner, which counts grants reported to it", async () => {
    const grants = await claimEngine(fleet);
    const waiting = requestGrant(fleet, "c");
    await fleet.advance(100);
    const report = { running: 2, waiting: 0, used_tokens: 800, capacity_tokens: 1_000 };
    fleet.reports.set("plan-1", { ...report, preemptions: 0, leaving: false });
    fleet.isolated.add(OWNER);
    OTHERS.forEach((host) => fleet.views.set(host, OTHERS));
    await fleet.advance(ADMISSION_LIMITS.renewMs + ADMISSION_LIMITS.requestRetryMs);
    expect(describeResult(waiting)).to.equal("waits");
    grants[0]?.release("finished");
    await fleet.advance(ADMISSION_LIMITS.requestRetryMs);
    expect(describeResult(waiting)).to.equal("plan-1");
  });

  it("grants at most maxSelfGrants locally while no owner replies", async () => {
    OTHERS.forEach((host) => fleet.isolated.add(host));
    fleet.isolated.add(OWNER);
    const ids = Array.from(
      { length: ADMISSION_LIMITS.maxSelfGrants + 1 },
      (_, index) => `r${index}`,
    );
    const pending = ids.map((id) => requestGrant(fleet, id));
    await fleet.advance(2 * ADMISSION_LIMITS.requestRetryMs);
    const granted = pending.filter((each) => describeResult(each) === "plan-1");
    expect(granted).to.have.length(ADMISSION_LIMITS.maxSelfGrants);
    expect(pending.map(describeResult)).to.include("waits");
  });

  it("settles each request once with two owners, and releases duplicate grants", async () => {
    const other = OTHERS[1] as string;
    fleet.views.set(ENTRY, [ENTRY, other]);
    fleet.views.set(other, [ENTRY, other]);
    const viaOwner = requestGrant(fleet, "x", {}, OWNER);
    const viaOther = requestGrant(fleet, "y");
    await fleet.advance(3 * ADMISSION_LIMITS.renewMs);
    expect([viaOwner, viaOther].map(describeResult)).to.deep.equal(["plan-1", "plan-1"]);
    [viaOwner, viaOther].forEach(({ result }) =>
      (result?.extract() as AdmissionGrant).release("finished")
    );
    await fleet.advance(ADMISSION_LIMITS.grantLeaseMs + ADMISSION_LIMITS.pollMs);
    const owned = HOSTS.flatMap((host) =>
      (getHost(fleet, host).dumpState() as { owned: { running: number }[] }).owned
    );
    expect(owned.map(({ running }) => running)).to.satisfy((counts: number[]) =>
      counts.every((count) => count === 0)
    );
  });

  it("reclaims the grants of a crashed entry daemon", async () => {
    await claimEngine(fleet);
    const waiting = requestGrant(fleet, "c", {}, OTHERS[1]);
    await fleet.advance(100);
    fleet.isolated.add(ENTRY);
    getHost(fleet, ENTRY).stop();
    await fleet.advance(ADMISSION_LIMITS.grantLeaseMs + 2 * ADMISSION_LIMITS.pollMs);
    expect(describeResult(waiting)).to.equal("plan-1");
  });

  it("immediately refuses a request that cannot meet its deadline, with ran=no", async () => {
    const grants = await claimEngine(fleet);
    const deadlineMs = fleet.clock.readMonotonicMs() + 50;
    const late = requestGrant(fleet, "late", { deadlineMs });
    await fleet.advance(0);
    expect(describeResult(late)).to.equal("overloaded ran=no");
    expect(late.result?.swap().extract()).to.have.property("retryAfterMs").above(0);
    grants.forEach((grant) => grant.release("finished"));
    await fleet.advance(1_000);
    const next = requestGrant(fleet, "next");
    await fleet.advance(100);
    expect(describeResult(next)).to.equal("plan-1");
  });

  it("refuses a waiting request at its deadline", async () => {
    await claimEngine(fleet);
    const deadlineMs = fleet.clock.readMonotonicMs() + 20_000;
    const waiting = requestGrant(fleet, "c", { deadlineMs });
    await fleet.advance(18_000);
    expect(describeResult(waiting)).to.equal("waits");
    await fleet.advance(3_000);
    expect(describeResult(waiting)).to.equal("overloaded ran=no");
  });

  it("refuses a waiting request whose caller has disconnected", async () => {
    await claimEngine(fleet);
    const abandoned = requestGrant(fleet, "abandoned", { isAbandoned: () => true });
    await fleet.advance(2 * ADMISSION_LIMITS.requestRetryMs);
    expect(describeResult(abandoned)).to.equal("overloaded ran=no");
  });

  it("refuses a request when no engine serves the model", async () => {
    const pending = requestGrant(fleet, "a", { model: "unknown" });
    await fleet.advance(0);
    expect(describeResult(pending)).to.equal("noUpstream ran=no");
  });
});

describe("draining upstreams", () => {
  const LEAVING = { running: 0, waiting: 0, used_tokens: 0, preemptions: 0, leaving: true };

  it("get no new requests from any host after the engine reports it; others do", async () => {
    const fleet = await createAdmissionFleet({ hosts: HOSTS, engines: 2 });
    fleet.reports.set("plan-1", { ...LEAVING, capacity_tokens: 1_000 });
    await fleet.advance(2 * ADMISSION_LIMITS.pollMs);
    const pending = HOSTS.map((host, index) => requestGrant(fleet, `r${index}`, {}, host));
    await fleet.advance(100);
    expect(pending.map(describeResult).sort()).to.deep.equal(["plan-2", "plan-2", "waits"]);
  });

  it("are used again after the engine reports that it is no longer draining", async () => {
    const fleet = await createAdmissionFleet({ hosts: HOSTS, engines: 1 });
    fleet.reports.set("plan-1", { ...LEAVING, capacity_tokens: 1_000 });
    await fleet.advance(2 * ADMISSION_LIMITS.pollMs);
    const refused = requestGrant(fleet, "a");
    await fleet.advance(100);
    fleet.reports.set("plan-1", { ...LEAVING, leaving: false, capacity_tokens: 1_000 });
    await fleet.advance(2 * ADMISSION_LIMITS.pollMs);
    const granted = requestGrant(fleet, "b");
    await fleet.advance(100);
    expect([refused, granted].map(describeResult)).to.deep.equal(["noUpstream ran=no", "plan-1"]);
  });
});
