import { expect } from "chai";
import { createRevisionNotices } from "./create_revision_notices.ts";

describe("revisions that other hosts report", () => {
  const createNotices = (revision: number | undefined) => {
    let refreshes = 0;
    const notices = createRevisionNotices({
      readRevision: () => revision,
      refreshSettings: () => refreshes++,
    });
    return { notices, countRefreshes: () => refreshes };
  };

  it("cause one read, however many hosts report them to a host that cannot read", () => {
    const { notices, countRefreshes } = createNotices(3);
    for (let report = 0; report < 195; report++) {
      notices.acceptRevision(4);
    }
    expect(countRefreshes()).to.equal(1);
    notices.acceptRevision(5);
    expect(countRefreshes()).to.equal(2);
  });

  it("cause no read if they are not later, or before the first settings", () => {
    const current = createNotices(3);
    current.notices.acceptRevision(3);
    const starting = createNotices(undefined);
    starting.notices.acceptRevision(3);
    expect([current.countRefreshes(), starting.countRefreshes()]).to.deep.equal([0, 0]);
  });
});
