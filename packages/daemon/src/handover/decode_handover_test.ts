import { expect } from "chai";
import { decodeHandover } from "./decode_handover.ts";
import { encodeHandover } from "./encode_handover.ts";

const KEY = "0123456789abcdef0123456789abcdef";
const REQUEST = { requestId: "r1", method: "POST", target: "/book/x?y=1" };
const FIELDS = { fromHost: "host;ü 1", ageMs: 12, isCounted: true };

describe("decodeHandover", () => {
  const header = encodeHandover(KEY, REQUEST, FIELDS);

  it("decodes what a host of the fleet has signed", () => {
    expect(decodeHandover(KEY, REQUEST, header)).to.deep.equal(FIELDS);
  });

  it("accepts no other key, request or fields", () => {
    const changed = [
      decodeHandover("f".repeat(32), REQUEST, header),
      decodeHandover(KEY, { ...REQUEST, requestId: "r2" }, header),
      decodeHandover(KEY, { ...REQUEST, target: "/book/z" }, header),
      decodeHandover(KEY, { ...REQUEST, method: "GET" }, header),
      decodeHandover(KEY, REQUEST, header.replace(/^12/, "13")),
      decodeHandover(KEY, REQUEST, ""),
      decodeHandover(KEY, REQUEST, "0;0;x;"),
    ];
    expect(changed.every((fields) => fields === undefined)).to.equal(true);
  });
});
