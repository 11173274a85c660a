import { expect } from "chai";
import { checkIniText } from "./check_ini_text.ts";

const CASES: readonly [title: string, text: string, line: number, message: RegExp][] = [
  ["a duplicate name", "a = 1\nb = 2\na = 3\n", 3, /already set in line 1/],
  [
    "the same name in snake case and camel case",
    "max_body = 1\nmaxBody = 2\n",
    2,
    /already set in line 1/,
  ],
  ["a duplicate section", "[x]\na = 1\n[y]\n[x]\n", 4, /already set in line 1/],
  ["a reserved section name", "[__proto__]\na = 1\n", 1, /cannot be used/],
  ["a reserved name", "__proto__ = 1\n", 1, /cannot be used/],
  ["a list", "x[] = 1\n", 1, /lists/],
  ["a dot in a section name", "[a.b]\n", 1, /nest/],
  ["a line without an equals sign", "flag\n", 1, /neither/],
  ["an unclosed section", "[abc\na = 1\n", 1, /neither/],
  ["an unclosed quote", 'a = "b\n', 1, /closing quote/],
  ["a value truncated at a comment sign", "url = http://10.0.0.1/#x\n", 1, /cut/],
  ["a duplicate name with Windows line endings", "a = 1\r\na = 2\r\n", 2, /already set/],
];

describe("checkIniText", () => {
  for (const [title, text, line, message] of CASES) {
    it(`reports ${title}`, () => {
      const findings = checkIniText(text);
      expect(findings.map((finding) => finding.line)).to.deep.equal([line]);
      expect(findings[0]?.message).to.match(message);
      expect(findings[0]?.advice).to.not.equal("");
    });
  }

  it("accepts quotes, comments, and the same name in two sections", () => {
    const text = "; note\na = \"x;y\" \n[p]\na = 1 ; why\n[q]\na = 'z'\n";
    expect(checkIniText(text)).to.deep.equal([]);
  });
});
