import { expect } from "chai";
import { createVersionNotices } from "./create_version_notices.ts";

describe("versions that other hosts report", () => {
  const createNotices = (version: number | undefined) => {
    let refreshes = 0;
    const notices = createVersionNotices({
      readVersion: () => version,
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
});
