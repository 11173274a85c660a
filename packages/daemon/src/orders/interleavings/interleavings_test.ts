import { expect } from "chai";
import { checkOrders } from "./check_orders.ts";
import type { OrderCheckReport } from "./check_orders.ts";

describe("schedules of claimant and replica decisions", () => {
  let report: OrderCheckReport;

  before(() => {
    report = checkOrders();
  });

  it("meet every guarantee in at least 200,000 schedules", () => {
    const schedules = report.scenarios.reduce((sum, scenario) => sum + scenario.schedules, 0);
    expect(report.scenarios.filter((scenario) => scenario.violation)).to.deep.equal([]);
    expect(schedules).to.be.at.least(200_000);
  });

  it("violate a guarantee under every mutation", () => {
    const missed = report.mutations.filter((mutation) => mutation.violation === undefined);
    expect(missed).to.deep.equal([]);
    expect(report.mutations.length).to.be.at.least(20);
  });
});
