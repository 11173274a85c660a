import { createSeededRandom, createSystemClock } from "@crocussail/daemon";
import { createLocalFleet } from "@crocussail/local_fleet";
import type { LocalFleet } from "@crocussail/local_fleet";
import { expect } from "chai";
import { LOAD_DEFAULTS } from "./constants.ts";
import { listViolatedGuarantees } from "./list_violated_guarantees.ts";
import { resolveLoadPlan } from "./resolve_load_plan.ts";
import { runLoad } from "./run_load.ts";

describe("crocussail load", () => {
  let fleet: LocalFleet;

  before(async () => {
    fleet = await createLocalFleet({ hosts: 3 });
  });

  after(() => fleet.close());

  it("sends every kind of request, resumes streams and gets complete responses", async () => {
    const plan = resolveLoadPlan({
      ...LOAD_DEFAULTS,
      url: fleet.daemons[0]?.url,
      apiKey: fleet.apiKey,
      model: "plan-70b",
      requests: 60,
      resumeShare: 0.5,
    }).unsafeCoerce();
    const ended: number[] = [];
    const summaries = await runLoad({
      plan,
      clock: createSystemClock(),
      random: createSeededRandom(plan.seed),
      reportProgress: (count) => ended.push(count),
    });
    const sent = summaries.reduce((total, summary) => total + summary.sent, 0);
    const answered = summaries.reduce((total, summary) => total + summary.inTime, 0);
    const resumes = summaries.reduce((total, summary) => total + summary.resumes, 0);
    expect(summaries.map((summary) => summary.kind)).to.deep.equal(["chat", "order", "read"]);
    expect(sent).to.equal(60);
    expect(answered).to.equal(60);
    expect(resumes).to.be.greaterThan(0);
    expect(listViolatedGuarantees(summaries)).to.deep.equal([]);
    expect(ended.at(-1)).to.equal(60);
    for (const [order, runs] of fleet.service.getExecutionCounts()) {
      expect(runs, order).to.equal(1);
    }
  });
});
