import { Command, Option } from "clipanion";
import { writeFile } from "node:fs/promises";
import { EXIT_CODE } from "../common/exit_code.ts";
import { readLogLines } from "../common/read_log_lines.ts";
import { buildCharts } from "./build_charts.ts";
import { decideReportedEnd } from "./decide_reported_end.ts";
import { listServedLines } from "./list_served_lines.ts";
import { renderReport } from "./render_report.ts";

/** `crocussail report`: charts of the load, from the logs of several hosts. */
export class ReportCommand extends Command {
  static override paths = [["report"]];
  static override usage = Command.Usage({
    description: "Draws charts of the load from the logs of several hosts",
    details: "Reads log files, or standard input for - or no file, and writes an HTML page with " +
      "charts of results by kind of request, of migrations, and of engines' memory. Exit " +
      "code 1 when the logs contain no request, 2 when a file cannot be read or written.",
    examples: [
      ["Draw the logs of two hosts", "$0 report --out day.html host-1.log host-2.log"],
      ["Read standard input", "$0 report --out day.html -"],
    ],
  });

  out = Option.String("--out", { required: true, description: "HTML file to write" });

  files = Option.Rest({ name: "file" });

  override async execute(): Promise<number> {
    const lines = await readLogLines(this.files, this.context);
    if (lines === undefined) {
      return EXIT_CODE.usage;
    }
    const servedLines = listServedLines(lines);
    if (servedLines.length === 0) {
      this.context.stderr.write(
        `no request in ${lines.length} log lines; pass the logs of hosts that served callers\n`,
      );
      return EXIT_CODE.failure;
    }
    const counts = new Map<string, number>();
    for (const line of servedLines) {
      const end = decideReportedEnd(line);
      counts.set(end, (counts.get(end) ?? 0) + 1);
    }
    const hosts = new Set(lines.map(({ host }) => host)).size;
    const ends = [...counts].map(([end, count]) => `${count} ${end}`).join(", ");
    const summary = `${servedLines.length} requests on ${hosts} hosts: ${ends}`;
    try {
      await writeFile(this.out, renderReport("Load report", summary, buildCharts(lines)));
    } catch (error) {
      this.context.stderr.write(
        `${this.out}: ${(error as Error).message}; pass a file that can be written\n`,
      );
      return EXIT_CODE.usage;
    }
    this.context.stdout.write(`${summary}; written to ${this.out}\n`);
    return EXIT_CODE.ok;
  }
}
