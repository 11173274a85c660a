import { expect } from "chai";
import fc from "fast-check";
import { decodeOrderKey } from "./decode_order_key.ts";
import { encodeKeyPrefix } from "./encode_key_prefix.ts";

const KEY = "fleet-key-of-at-least-32-characters";
const OLD_KEY = "older-key-of-at-least-32-characters";
const PREFIX = [
  { host: "host-1", incarnation: "0123456789abcdef", epoch: 3 },
  { host: "host-2", incarnation: "123456789abcdef0", epoch: 0 },
];

describe("order key", () => {
  it("returns the replicas of a prefix signed with the current or previous fleet key", () => {
    const current = `${encodeKeyPrefix(PREFIX, KEY)}order:1`;
    const earlier = `${encodeKeyPrefix(PREFIX, OLD_KEY)}order:1`;
    expect(decodeOrderKey(current, [KEY]).extract()).to.deep.equal(PREFIX);
    expect(decodeOrderKey(earlier, [KEY, OLD_KEY]).extract()).to.deep.equal(PREFIX);
    expect(decodeOrderKey(earlier, [KEY]).isLeft()).to.equal(true);
  });

  const signed = encodeKeyPrefix(PREFIX, KEY);
  const table: [string, string][] = [
    ["a prefix without an id", signed],
    ["an id with a space", `${signed}a b`],
    ["an id of 129 characters", `${signed}${"a".repeat(129)}`],
    ["a changed payload", `${signed.replace("ck1.", "ck1.A")}a`],
    ["no prefix", "order-1"],
    ["a prefix with the same host twice", encodeKeyPrefix([PREFIX[0]!, PREFIX[0]!], KEY) + "a"],
    ["a prefix without replicas", `${encodeKeyPrefix([], KEY)}a`],
  ];
  for (const [name, key] of table) {
    it(`refuses ${name} and reports that the order was not executed`, () => {
      const error = decodeOrderKey(key, [KEY]).swap().unsafeCoerce();
      expect([error.code, error.ran]).to.deep.equal(["orderKeyInvalid", "no"]);
    });
  }

  it("refuses arbitrary text without throwing", () => {
    fc.assert(fc.property(fc.string(), fc.string(), (payload, signatureAndId) => {
      expect(decodeOrderKey(`ck1.${payload}.${signatureAndId}`, [KEY]).isLeft()).to.equal(true);
    }));
  });
});
