import { expect } from "chai";
import { findBodyFraming } from "./find_body_framing.ts";

describe("findBodyFraming", () => {
  const cases = [
    { headers: [], framing: "connection" },
    { headers: ["X-Note", "Content-Length"], framing: "connection" },
    { headers: ["Content-Type", "text/event-stream", "content-length", "7"], framing: "length" },
    { headers: ["Transfer-Encoding", "chunked"], framing: "chunks" },
    { headers: ["Content-Length", "7", "transfer-encoding", "chunked"], framing: "chunks" },
  ] as const;
  for (const { headers, framing } of cases) {
    it(`finds ${framing} in ${JSON.stringify(headers)}`, () => {
      expect(findBodyFraming(headers)).to.equal(framing);
    });
  }
});
