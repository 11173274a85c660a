import { expect } from "chai";
import { checkSettingsTree } from "./check_settings_tree.ts";

const HASH = "a".repeat(64);
const HOST = "address = 10.0.0.1\ncaller_port = 1\npeer_port = 2\ndata_centre = suva\n";

const CASES: readonly [title: string, path: string, text: string, found: RegExp][] = [
  ["unknown path", "team/a/access", "", /no such settings path/],
  ["unsafe segment", "teams/a b/access", "", /character/],
  ["unknown name", "teams/a/access", "modles = m\n", /unknown name/],
  ["wrong type", "teams/a/access", "weight = heavy\n", /number/i],
  ["unknown model of a team", "teams/a/access", "models = x\n", /model "x"/],
  ["unknown adapter of a team", "teams/a/access", "adapters = x\n", /adapter "x"/],
  ["unknown service of a team", "teams/a/services", "[x]\n", /serves "x"/],
  ["key of another team", "teams/z/keys", `[k]\nsha256 = ${HASH}\n`, /same key hash/],
  ["same address", "hosts/h2", HOST, /same 10\.0\.0\.1/],
  [
    "upstream in no data centre",
    "upstreams/u",
    "kind = engine\nurl = http://10.0.0.9\ndata_centre = oslo\n",
    /data centre "oslo"/,
  ],
  [
    "unknown model of an engine",
    "upstreams/u",
    "kind = engine\nurl = http://10.0.0.9\ndata_centre = suva\nmodels = x\n",
    /model "x"/,
  ],
];

describe("checkSettingsTree", () => {
  const sound = new Map([
    ["hosts/h1", HOST],
    ["models/m", "version = 1\n"],
    ["teams/b/keys", `[k]\nsha256 = ${HASH}\n`],
  ]);

  it("finds nothing in a sound tree", () => {
    expect(checkSettingsTree(sound)).to.deep.equal([]);
  });

  for (const [title, path, text, found] of CASES) {
    it(`reports ${title}`, () => {
      const findings = checkSettingsTree(new Map([...sound, [path, text]]));
      expect(findings).to.have.length(1);
      expect(findings[0]?.path).to.equal(path);
      expect(findings[0]?.message).to.match(found);
    });
  }
});
