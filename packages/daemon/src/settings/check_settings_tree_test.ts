import { expect } from "chai";
import { checkSettingsTree } from "./check_settings_tree.ts";

const HASH = "a".repeat(64);
const HOST = "address = 10.0.0.1\ncaller_port = 1\npeer_port = 2\ndata_centre = suva\n";

const CASES: readonly [title: string, path: string, text: string, expected: RegExp][] = [
  ["an unknown path", "team/a/access", "", /no such settings path/],
  ["a path segment with an invalid character", "teams/a b/access", "", /character/],
  ["an unknown name", "teams/a/access", "modles = m\n", /unknown name/],
  ["a value of the wrong type", "teams/a/access", "weight = heavy\n", /number/i],
  ["an unknown model of a team", "teams/a/access", "models = x\n", /model "x"/],
  ["an unknown adapter of a team", "teams/a/access", "adapters = x\n", /adapter "x"/],
  ["an unknown service of a team", "teams/a/services", "[x]\n", /serves "x"/],
  ["a key that another team has", "teams/z/keys", `[k]\nsha256 = ${HASH}\n`, /same key hash/],
  ["an address that another host has", "hosts/h2", HOST, /same 10\.0\.0\.1/],
  [
    "an upstream in a data centre without hosts",
    "upstreams/u",
    "kind = engine\nurl = http://10.0.0.9\ndata_centre = oslo\n",
    /data centre "oslo"/,
  ],
  [
    "an unknown model of an engine",
    "upstreams/u",
    "kind = engine\nurl = http://10.0.0.9\ndata_centre = suva\nmodels = x\n",
    /model "x"/,
  ],
];

describe("checkSettingsTree", () => {
  const validTree = new Map([
    ["hosts/h1", HOST],
    ["models/m", "version = 1\n"],
    ["teams/b/keys", `[k]\nsha256 = ${HASH}\n`],
  ]);

  it("reports nothing for a valid tree", () => {
    expect(checkSettingsTree(validTree)).to.deep.equal([]);
  });

  for (const [title, path, text, expected] of CASES) {
    it(`reports ${title}`, () => {
      const findings = checkSettingsTree(new Map([...validTree, [path, text]]));
      expect(findings).to.have.length(1);
      expect(findings[0]?.path).to.equal(path);
      expect(findings[0]?.message).to.match(expected);
    });
  }
});
