import { Cli } from "clipanion";
import { expect } from "chai";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough, Readable } from "node:stream";
import { TraceCommand } from "./trace_command.ts";

const createLine = (second: number, host: string, name: string, fields: object) =>
  JSON.stringify({
    time: new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString(),
    event: 8000,
    name,
    level: "info",
    host,
    ...fields,
  });

const HOST_1_LOG = [
  "a line of another program",
  createLine(1, "host-1", "requestPlaced", { request: "r1", upstream: "u1", copy: "u2" }),
  createLine(1, "host-1", "requestPlaced", { request: "r2", upstream: "u1" }),
  createLine(4, "host-1", "answerCut", { request: "r1", upstream: "u1", reason: "reset" }),
  createLine(4, "host-1", "requestServed", { request: "r1", end: "cut", tookMs: 3000 }),
  '{"time": "cut off',
].join("\n");
/**
 * Merged logs put a time and a host before each JSON object. The host in the object counts: only
 * lines of host-1, which served the request, are selected.
 */
const HOST_2_LOG = [
  `  3.0 host-2 ${createLine(3, "host-1", "upstreamLeft", { upstream: "u1", by: "record" })}`,
  createLine(3, "host-1", "upstreamLeft", { upstream: "u9", by: "record" }),
].join("\n");

async function runTrace(
  args: readonly string[],
  input = "",
): Promise<{ code: number; text: string }> {
  const stdout = new PassThrough();
  const chunks: unknown[] = [];
  stdout.on("data", (chunk) => chunks.push(chunk));
  const cli = new Cli();
  cli.register(TraceCommand);
  const stdin = Readable.from([input]);
  const code = await cli.run(["trace", ...args], { stdin, stdout, stderr: stdout });
  return { code, text: chunks.join("") };
}

describe("crocussail trace", () => {
  let directory: string;
  let files: string[];

  beforeEach(async () => {
    directory = await mkdtemp(join(tmpdir(), "trace-"));
    files = [join(directory, "host-1.log"), join(directory, "host-2.log")];
    await writeFile(files[0] ?? "", HOST_1_LOG);
    await writeFile(files[1] ?? "", HOST_2_LOG);
  });

  afterEach(() => rm(directory, { recursive: true }));

  it("prints a request's lines in time order, its upstream's events and why it ended", async () => {
    const { code, text } = await runTrace(["r1", ...files]);
    expect(code).to.equal(0);
    expect(text.split("\n").map((line) => line.split(" ")[3]).slice(0, 4)).to.deep.equal([
      "requestPlaced",
      "upstreamLeft",
      "answerCut",
      "requestServed",
    ]);
    expect(text).to.include("request r1 ended: cut after 3000 ms; Response was cut off");
    expect(text).to.not.include("u9");
  });

  it("reads standard input", async () => {
    const { code, text } = await runTrace(["r2", "-"], HOST_1_LOG);
    expect([code, text.includes("has no final response")]).to.deep.equal([0, true]);
  });

  it("asks for other logs when no line names the request, and names a missing file", async () => {
    const unknown = await runTrace(["r7", ...files]);
    expect([unknown.code, unknown.text.includes("add the logs of the other hosts")])
      .to.deep.equal([1, true]);
    const missing = await runTrace(["r1", join(directory, "none.log")]);
    expect([missing.code, missing.text.includes("none.log")]).to.deep.equal([2, true]);
  });
});
