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

  const hostile: readonly (readonly [title: string, text: string])[] = [
    ["nothing", ""],
    ["no index", valid],
    ["a negative index", `${valid}:-1`],
    ["an index that is no number", `${valid}:1e3`],
    ["an index beyond all bounds", `${valid}:99999999999`],
    ["another payload under the signature", `x${valid}:1`],
    ["a signature of another key", `${encodeResumeToken(TOKEN, "a-foreign-key")}:1`],
    ["signed text that is no JSON", `${sign("{")}:1`],
    ["signed JSON of another kind", `${sign("7")}:1`],
    ["a signed token with a member missing", `${sign(JSON.stringify({ upstream: "u" }))}:1`],
    ["a signed token with a member too many", `${sign(JSON.stringify({ ...TOKEN, x: 1 }))}:1`],
    ["a very long text", `${"a".repeat(100_000)}:1`],
  ];
  for (const [title, text] of hostile) {
    it(`refuses ${title}`, () => {
      const decoded = decodeLastEventId(text, KEYS);
      expect(decoded.extract()).to.include({ code: "invalidResumeToken", ran: "no" });
    });
  }
});
