import { expect } from "chai";
import { request } from "undici";
import { createLocalFleet } from "./create_local_fleet.ts";
import type { LocalFleet } from "./create_local_fleet.ts";

describe("replacing daemons of a local fleet", () => {
  let fleet: LocalFleet;

  before(async () => {
    fleet = await createLocalFleet({ hosts: 2 });
  });

  after(() => fleet.close());

  it("starts a new incarnation under the same host name on new ports", async () => {
    const before = fleet.daemons[0];
    const after = await fleet.replaceDaemon(0);
    const answer = await request(`${after.url}/v1/entry`);
    const entry = await answer.body.json() as { host: string };
    expect(entry.host).to.equal("host-1");
    expect(after.url).not.to.equal(before?.url);
    expect(fleet.daemons[0]).to.equal(after);
  });

  it("keeps a stopped daemon published while it refuses connections", async () => {
    await fleet.stopDaemon(1);
    const failure = await request(`${fleet.daemons[1]?.url}/v1/entry`).catch((error) => error);
    expect(failure.code).to.equal("ECONNREFUSED");
  });
});
