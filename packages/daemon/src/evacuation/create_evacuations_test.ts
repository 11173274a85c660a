import { expect } from "chai";
import { createEvacuations } from "./create_evacuations.ts";

describe("createEvacuations", () => {
  const evacuated = new Map<string, number>();
  const returned: string[] = [];
  const lines: string[] = [];
  let nowMs = 100;
  let urgentReports = 0;
  const evacuations = createEvacuations({
    clock: { readMonotonicMs: () => nowMs },
    logger: { writeEvent: (name, fields = {}) => lines.push(`${name} by ${fields["by"]}`) },
    metrics: { gauge: () => {} },
    evacuated,
    scheduleUrgentReport: () => urgentReports++,
    handleReturned: (dataCentre) => returned.push(dataCentre),
  });

  // Guards against a time for moves that starts again with each report of another host, against
  // repeated urgent reports, and against upstreams that count as warm after an evacuation.
  it("records when it learnt of each, and reports each change once", () => {
    evacuations.apply({ type: "reported", entries: [["a", 1, 5, true]] }, "host-2");
    nowMs = 900;
    evacuations.apply({ type: "written", dataCentre: "a", era: 1, revision: 5 }, "store");
    evacuations.apply({ type: "written", dataCentre: "a", era: 1, revision: 8 }, "store");
    expect([...evacuated]).to.deep.equal([["a", 100]]);
    expect(evacuations.listReported()).to.deep.equal([["a", 1, 8, true]]);
    expect(urgentReports).to.equal(1);
    evacuations.apply({ type: "removed", dataCentre: "a", era: 1, revision: 9 }, "store");
    evacuations.apply({ type: "reported", entries: [["a", 1, 8, true]] }, "host-3");
    expect([...evacuated]).to.deep.equal([]);
    expect(returned).to.deep.equal(["a"]);
    expect(urgentReports).to.equal(2);
    expect(lines).to.deep.equal([
      "dataCentreEvacuated by host-2",
      "evacuationWithdrawn by store",
    ]);
  });
});
