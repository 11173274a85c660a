import { expect } from "chai";
import { createManualClock } from "../common/create_manual_clock.ts";
import { HOST_LIMITS } from "./constants.ts";
import { createReportConfirmation } from "./create_report_confirmation.ts";
import type { HostReport } from "./host_report_schema.ts";

const RELAY = "10.0.0.1:7200";
const OTHER = "10.0.0.2:7200";

const createReport = (sequence: number) =>
  ({ host: "h1", incarnation: "i1", sequence }) as unknown as HostReport;
const identify = (sequence: number) => ({ host: "h1", incarnation: "i1", sequence });

function createConfirmation() {
  const clock = createManualClock();
  const sent: { sequence: number; ageMs: number; relay: string }[] = [];
  const confirmation = createReportConfirmation({
    clock,
    sendToStandby: (reports, relay) =>
      reports.forEach(({ report, ageMs }) => {
        sent.push({ sequence: report.sequence, ageMs, relay });
      }),
  });
  return { clock, sent, confirmation };
}

describe("confirmation of reports by the first relay", () => {
  it("sends nothing more when the report returns in time", () => {
    const { clock, sent, confirmation } = createConfirmation();
    confirmation.recordSent(createReport(1), RELAY);
    clock.advance(HOST_LIMITS.confirmMs - 1);
    confirmation.recordForwarded(identify(1), RELAY);
    clock.advance(10_000);
    expect(sent).to.deep.equal([]);
    expect(confirmation.isSilent(RELAY)).to.equal(false);
  });

  it("sends all reports that have not returned, with their ages, when the first is late", () => {
    const { clock, sent, confirmation } = createConfirmation();
    confirmation.recordSent(createReport(1), RELAY);
    clock.advance(150);
    confirmation.recordSent(createReport(2), RELAY);
    clock.advance(HOST_LIMITS.confirmMs - 150);
    expect(sent).to.deep.equal([
      { sequence: 1, ageMs: HOST_LIMITS.confirmMs, relay: RELAY },
      { sequence: 2, ageMs: HOST_LIMITS.confirmMs - 150, relay: RELAY },
    ]);
  });

  it("gives a later report its own time when an earlier one has returned", () => {
    const { clock, sent, confirmation } = createConfirmation();
    confirmation.recordSent(createReport(1), RELAY);
    clock.advance(150);
    confirmation.recordSent(createReport(2), RELAY);
    confirmation.recordForwarded(identify(1), RELAY);
    clock.advance(HOST_LIMITS.confirmMs - 1);
    expect(sent).to.deep.equal([]);
    clock.advance(1);
    expect(sent.map(({ sequence }) => sequence)).to.deep.equal([2]);
  });

  it("regards a relay as silent until it forwards a report again", () => {
    const { clock, confirmation } = createConfirmation();
    confirmation.recordSent(createReport(1), RELAY);
    clock.advance(HOST_LIMITS.confirmMs);
    expect(confirmation.isSilent(RELAY)).to.equal(true);
    expect(confirmation.isSilent(OTHER)).to.equal(false);
    confirmation.recordForwarded(identify(1), OTHER);
    expect(confirmation.isSilent(RELAY)).to.equal(true);
    confirmation.recordForwarded(identify(1), RELAY);
    expect(confirmation.isSilent(RELAY)).to.equal(false);
  });
});
