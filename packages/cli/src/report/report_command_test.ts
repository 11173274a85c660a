import { Cli } from "clipanion";
import { expect } from "chai";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough, Readable } from "node:stream";
import { parseLogLines } from "../common/parse_log_lines.ts";
import { buildCharts } from "./build_charts.ts";
import { decideReportedEnd } from "./decide_reported_end.ts";
import { ReportCommand } from "./report_command.ts";

const createLine = (second: number, name: string, fields: object) =>
  JSON.stringify({
    time: new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString(),
    event: 8000,
    name,
    level: "info",
    host: "host-1",
    ...fields,
  });
const PLAIN = { kind: "once", targetMs: 300, route: "r" };
const STREAM = { kind: "stream", targetMs: 1_500, route: "s", tookMs: 9_000 };
const LOG = [
  createLine(0, "requestPlaced", { request: "p1", upstream: "u1", memoryTokens: 3_000 }),
  createLine(0, "requestPlaced", { request: "p2", upstream: "u1", memoryTokens: 7_000 }),
  createLine(2, "requestPlaced", { request: "p3", upstream: "u2", memoryTokens: 500 }),
  createLine(1, "requestServed", { ...PLAIN, request: "b1", end: "answered", tookMs: 300 }),
  createLine(1, "requestServed", { ...PLAIN, request: "b2", end: "answered", tookMs: 301 }),
  createLine(2, "requestServed", { ...PLAIN, request: "b3", end: "unknown", tookMs: 20 }),
  createLine(2, "moveStarted", { request: "p1" }),
  createLine(3, "requestServed", { ...STREAM, request: "p1", end: "answered", firstEventMs: 900 }),
  createLine(3, "requestServed", { ...STREAM, request: "p2", end: "refused", firstEventMs: 0 }),
  "a line of another program",
].join("\n");

async function runReport(args: readonly string[], input = "") {
  const stdout = new PassThrough();
  const chunks: unknown[] = [];
  stdout.on("data", (chunk) => chunks.push(chunk));
  const cli = new Cli();
  cli.register(ReportCommand);
  const stdin = Readable.from([input]);
  const code = await cli.run(["report", ...args], { stdin, stdout, stderr: stdout });
  return { code, text: chunks.join("") };
}

describe("crocussail report", () => {
  let directory: string;
  let out: string;

  beforeEach(async () => {
    directory = await mkdtemp(join(tmpdir(), "report-"));
    out = join(directory, "day.html");
  });

  afterEach(() => rm(directory, { recursive: true }));

  it("charts results by kind and second, migrations and engines' memory", () => {
    const charts = buildCharts(parseLogLines(LOG));
    const read = (index: number) =>
      Object.fromEntries(
        charts[index]?.series.map(({ name, points }) => [name, points.map(([, value]) => value)]) ??
          [],
      );
    expect(charts.map(({ title }) => title.split(/[ ,]/)[0])).to.deep.equal([
      "Requests",
      "Generations",
      "Generations",
      "Memory",
    ]);
    expect(read(0)).to.include.deep.keys("inTime", "late", "lost");
    expect(read(0)["inTime"]).to.deep.equal([0, 1, 0, 0]);
    expect(read(0)["late"]).to.deep.equal([0, 1, 0, 0]);
    expect(read(0)["lost"]).to.deep.equal([0, 0, 1, 0]);
    expect(read(1)["inTime"]).to.deep.equal([0, 0, 0, 1]);
    expect(read(1)["refused"]).to.deep.equal([0, 0, 0, 1]);
    expect(read(2)).to.deep.equal({ started: [0, 0, 1, 0] });
    expect(charts[3]?.series).to.deep.equal([
      { name: "u1", points: [[0, 7_000]] },
      { name: "u2", points: [[2, 500]] },
    ]);
  });

  const ends: readonly [string, object, string][] = [
    ["a stream's first event in time", { ...STREAM, end: "answered", firstEventMs: 10 }, "inTime"],
    ["a stream's late first event", { ...STREAM, end: "answered", firstEventMs: 1_501 }, "late"],
    ["a stream that was cut", { ...STREAM, end: "cut", firstEventMs: 10 }, "lost"],
    ["a refusal before execution", { ...PLAIN, end: "notRun" }, "refused"],
    ["a refusal at an upstream's limit", { ...PLAIN, end: "limited" }, "refused"],
    ["an upstream's own failure", { ...PLAIN, end: "failed" }, "lost"],
    ["a response without a stated target", { end: "answered", tookMs: 9 }, "answered"],
    ["a caller that disconnected", { ...PLAIN, end: "callerLeft" }, "left"],
  ];
  for (const [title, fields, expected] of ends) {
    it(`classifies ${title} as ${expected}`, () => {
      const [line] = parseLogLines(createLine(0, "requestServed", fields));
      expect(line === undefined ? undefined : decideReportedEnd(line)).to.equal(expected);
    });
  }

  it("counts a request that was handed over on the host that served it", async () => {
    const log = createLine(0, "requestServed", { ...PLAIN, end: "handedOver", tookMs: 9 }) + "\n" +
      createLine(1, "requestServed", { ...PLAIN, end: "answered", tookMs: 9 });
    const { text } = await runReport(["--out", out, "-"], log);
    expect(text).to.match(/^1 requests on 1 hosts: 1 inTime/);
  });

  it("writes one page with all charts and prints a summary", async () => {
    const { code, text } = await runReport(["--out", out, "-"], LOG);
    expect([code, text]).to.deep.equal([
      0,
      `5 requests on 1 hosts: 2 inTime, 1 late, 1 lost, 1 refused; written to ${out}\n`,
    ]);
    const page = await readFile(out, "utf8");
    expect(page.match(/<svg /g)).to.have.length(4);
    expect(page).not.to.match(/<script|https?:\/\/(?!www\.w3\.org)/);
  });

  it("exits with an error if a file cannot be read or written, or has no request", async () => {
    const missing = await runReport(["--out", out, join(directory, "none.log")]);
    expect([missing.code, missing.text]).to.satisfy(([code, text]: [number, string]) =>
      code === 2 && text.includes("none.log") && text.includes("pass a log file or -")
    );
    await writeFile(join(directory, "empty.log"), "nothing here\n");
    const empty = await runReport(["--out", out, join(directory, "empty.log")]);
    expect([empty.code, empty.text]).to.satisfy(([code, text]: [number, string]) =>
      code === 1 && text.startsWith("no request in 0 log lines")
    );
    const unwritable = await runReport(["--out", directory, "-"], LOG);
    expect(unwritable.code).to.equal(2);
    expect(unwritable.text).to.include("pass a file that can be written");
  });
});
