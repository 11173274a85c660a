import { Cli } from "clipanion";
import { expect } from "chai";
import { cp, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough } from "node:stream";
import { CheckCommand } from "./check_command.ts";

const EXAMPLES = "examples";

async function runCheck(args: readonly string[]): Promise<{ code: number; text: string }> {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const chunks: unknown[] = [];
  stdout.on("data", (chunk) => chunks.push(chunk));
  stderr.on("data", (chunk) => chunks.push(chunk));
  const cli = new Cli();
  cli.register(CheckCommand);
  const code = await cli.run(["check", ...args], { stdout, stderr });
  return { code, text: chunks.join("") };
}

describe("crocussail check", () => {
  let directory: string;

  beforeEach(async () => {
    directory = await mkdtemp(join(tmpdir(), "check-"));
    await cp(join(EXAMPLES, "lakeshore/settings"), directory, { recursive: true });
  });

  afterEach(() => rm(directory, { recursive: true }));

  for (const name of ["lakeshore", "vanua"]) {
    it(`reports no findings for the ${name} example`, async () => {
      const { code, text } = await runCheck([join(EXAMPLES, name, "settings")]);
      expect(text).to.match(/^\d+ values, 0 findings\n$/);
      expect(code).to.equal(0);
    });
  }

  const cases: readonly { title: string; file: string; text: string; expected: RegExp }[] = [
    {
      title: "a misspelt name",
      file: "teams/depots/access.ini",
      text: "models = plan-70b\nwieght = 2\n",
      expected: /access\.ini:2: wieght: unknown name; did you mean "weight"\?/,
    },
    {
      title: "a model that is not published",
      file: "teams/depots/access.ini",
      text: "models = plan-7b\n",
      expected: /access\.ini:1: models: model "plan-7b" is not published; publish models\/plan-7b/,
    },
    {
      title: "an upstream in a data centre without hosts",
      file: "upstreams/plan-toledo-1.ini",
      text: "kind = engine\nurl = http://10.1.1.1:80\ndata_centre = tolledo\nmodels = plan-70b\n",
      expected: /plan-toledo-1\.ini:3: data_centre: no host is in data centre "tolledo"/,
    },
  ];
  for (const { title, file, text, expected } of cases) {
    it(`reports ${title} with file, line and advice`, async () => {
      await writeFile(join(directory, file), text);
      const result = await runCheck([directory]);
      expect(result.text).to.match(expected);
      expect(result.code).to.equal(1);
    });
  }

  it("prints findings as JSON", async () => {
    await writeFile(join(directory, "teams/depots/access.ini"), "wieght = 2\n");
    const { text } = await runCheck([directory, "--json"]);
    expect(JSON.parse(text).findings[0]).to.include({ path: "teams/depots/access", line: 1 });
  });

  it("exits with code 2 when the directory does not exist", async () => {
    const { code, text } = await runCheck([join(directory, "none")]);
    expect(text).to.contain("pass a readable directory");
    expect(code).to.equal(2);
  });
});
