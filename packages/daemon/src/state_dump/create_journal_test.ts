import { expect } from "chai";
import { createManualClock } from "../common/create_manual_clock.ts";
import { createJournal } from "./create_journal.ts";

const createTestJournal = () =>
  createJournal({
    clock: createManualClock(),
    maxRequests: 2,
    maxEntries: 2,
    readRevision: () => 7,
  });

describe("createJournal", () => {
  it("stores the decisions of a request in order, with time and settings revision", () => {
    const journal = createTestJournal();
    journal.recordDecision("a", "admission", "queued", { position: 3 });
    journal.recordDecision("a", "admission", "granted");
    const time = "2026-01-01T00:00:00.000Z";
    expect(journal.listEntries("a")).to.deep.equal([
      { time, revision: 7, slice: "admission", decision: "queued", fields: { position: 3 } },
      { time, revision: 7, slice: "admission", decision: "granted", fields: {} },
    ]);
  });

  it("evicts the oldest request when the number of requests reaches the limit", () => {
    const journal = createTestJournal();
    ["a", "b", "c"].forEach((id) => journal.recordDecision(id, "orders", "dispatched"));
    expect(journal.listEntries("a")).to.deep.equal([]);
    expect(journal.listEntries("c")).to.have.length(1);
  });

  it("drops later decisions of a request that has reached the entry limit", () => {
    const journal = createTestJournal();
    ["x", "y", "z"].forEach((decision) => journal.recordDecision("a", "orders", decision));
    expect(journal.listEntries("a").map(({ decision }) => decision)).to.deep.equal(["x", "y"]);
  });
});
