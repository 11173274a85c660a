import { expect } from "chai";
import { decideOutcome } from "./decide_outcome.ts";

const HEAD = { requestId: "r1", isSigned: true, hasNotExecuted: false, isEncoded: false };

describe("decideOutcome", () => {
  const cases: readonly [string, number, Partial<typeof HEAD> | undefined, string][] = [
    ["a signed success", 200, {}, "answered"],
    ["a success without a signature", 200, { isSigned: false }, "broken"],
    ["a success with a content encoding", 200, { isEncoded: true }, "broken"],
    ["a response to another request", 200, { requestId: "r2" }, "broken"],
    ["a failure of the upstream itself", 500, {}, "failed"],
    ["a 504 after the upstream's timeout, so the request was executed", 504, {}, "failed"],
    [
      "a refusal that states that the request was not executed",
      503,
      { hasNotExecuted: true },
      "refused",
    ],
    ["a refusal that states that the request was not executed, without a request id", 503, {
      hasNotExecuted: true,
      requestId: "",
    }, "refused"],
    ["a refusal of another request", 503, { hasNotExecuted: true, requestId: "r2" }, "broken"],
    ["a 503 that does not state that the request was not executed", 503, {}, "broken"],
    ["a 429 that does not state that the request was not executed", 429, {}, "broken"],
    ["a 408 that does not state that the request was not executed", 408, {}, "broken"],
    ["a missing header", 0, undefined, "broken"],
  ];
  for (const [title, status, change, expected] of cases) {
    it(`classifies ${title} as ${expected}`, () => {
      const head = change === undefined ? undefined : { ...HEAD, ...change };
      expect(decideOutcome(status, head, "r1")[0]).to.equal(expected);
    });
  }
});
