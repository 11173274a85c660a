import { expect } from "chai";
import { checkEventOrder } from "./check_event_order.ts";

describe("checkEventOrder", () => {
  const cases: readonly [string, number | undefined, number | undefined, string][] = [
    ["accepts any first event, as ids may start at 0 or 1", 1, undefined, "next"],
    ["accepts the event after the last one", 5, 4, "next"],
    ["finds an event that the caller has", 4, 4, "known"],
    ["finds events of an engine that starts again", 0, 4, "known"],
    ["finds a hole", 6, 4, "missing"],
    ["accepts events without an id", undefined, 4, "next"],
  ];
  for (const [title, id, lastReceivedId, expected] of cases) {
    it(title, () => {
      expect(checkEventOrder(id, lastReceivedId)).to.equal(expected);
    });
  }
});
