import { expect } from "chai";
import { Buffer } from "node:buffer";
import { signText } from "../common/sign_text.ts";
import { decodeLastEventId } from "./decode_last_event_id.ts";
import { encodeResumeToken } from "./encode_resume_token.ts";

const KEYS = ["new-fleet-key-of-a-test", "old-fleet-key-of-a-test"] as const;
const TOKEN = {
  upstream: "plan-1",
  generation: "g1",
  team: "planners",
  model: "plan-70b",
  host: "host-1",
  api: "chat",
  promptTokens: 3,
} as const;

function sign(content: string): string {
  const payload = Buffer.from(content).toString("base64url");
  return `${payload}.${signText(KEYS[0], `resume:${payload}`)}`;
}

describe("decodeLastEventId", () => {
  const valid = encodeResumeToken(TOKEN, KEYS[0]);

  for (const [index, key] of KEYS.entries()) {
    it(`accepts a token signed with fleet key ${index + 1} of 2`, () => {
      const decoded = decodeLastEventId(`${encodeResumeToken(TOKEN, key)}:41`, KEYS);
      expect(decoded.extract()).to.deep.equal({ token: TOKEN, index: 41 });
    });
  }

  const invalidIds: readonly (readonly [title: string, text: string])[] = [
    ["an empty text", ""],
    ["a token without an index", valid],
    ["a negative index", `${valid}:-1`],
    ["a non-decimal index", `${valid}:1e3`],
    ["an index with too many digits", `${valid}:99999999999`],
    ["a payload that does not match the signature", `x${valid}:1`],
    ["a signature with an unknown key", `${encodeResumeToken(TOKEN, "a-foreign-key")}:1`],
    ["signed text that is not JSON", `${sign("{")}:1`],
    ["signed JSON that is not an object", `${sign("7")}:1`],
    ["a signed token with a missing member", `${sign(JSON.stringify({ upstream: "u" }))}:1`],
    ["a signed token with an additional member", `${sign(JSON.stringify({ ...TOKEN, x: 1 }))}:1`],
    ["a very long text", `${"a".repeat(100_000)}:1`],
  ];
  for (const [title, text] of invalidIds) {
    it(`refuses ${title}`, () => {
      const decoded = decodeLastEventId(text, KEYS);
      expect(decoded.extract()).to.include({ code: "invalidResumeToken", ran: "no" });
    });
  }
});
