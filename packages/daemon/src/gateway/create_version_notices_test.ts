import { expect } from "chai";
import { createVersionNotices } from "./create_version_notices.ts";

describe("versions that other hosts report", () => {
  const createNotices = (version: number | undefined, elsewhere: readonly number[] = []) => {
    let refreshes = 0;
    const notices = createVersionNotices({
      readVersion: () => version,
      listVersionsElsewhere: () => elsewhere,
      refreshSettings: () => refreshes++,
    });
    return { notices, countRefreshes: () => refreshes };
  };

  it("cause one read, however many hosts report them to a host that cannot read", () => {
    const { notices, countRefreshes } = createNotices(3);
    for (let report = 0; report < 195; report++) {
      notices.acceptVersion(4, "host-2");
    }
    expect(countRefreshes()).to.equal(1);
    notices.acceptVersion(5, "host-2");
    expect(countRefreshes()).to.equal(2);
  });

  it("cause no read if they are not later, or before the first settings", () => {
    const current = createNotices(3);
    current.notices.acceptVersion(3, "host-2");
    const starting = createNotices(undefined);
    starting.notices.acceptVersion(3, "host-2");
    expect([current.countRefreshes(), starting.countRefreshes()]).to.deep.equal([0, 0]);
  });

  it("leave a host behind until its own version is as late, however the read ended", () => {
    expect(createNotices(3, [3, 4]).notices.isBehind()).to.equal(true);
    expect(createNotices(4, [3, 4]).notices.isBehind()).to.equal(false);
    expect(createNotices(undefined).notices.isBehind()).to.equal(true);
  });
});
