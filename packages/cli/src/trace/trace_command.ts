import { Command, Option } from "clipanion";
import { EXIT_CODE } from "../common/exit_code.ts";
import { describeCause } from "./describe_cause.ts";
import { readLogLines } from "../common/read_log_lines.ts";
import { selectTrace } from "./select_trace.ts";
import type { LogLine } from "../common/log_line.ts";

/** `crocussail trace`: the history of one request in the logs of several hosts. */
export class TraceCommand extends Command {
  static override paths = [["trace"], ["explain", "log"]];
  static override usage = Command.Usage({
    description: "Explains a request from the logs of several hosts",
    details: "Reads log files, or standard input for - or no file. Prints the request's lines in " +
      "time order with events of its upstreams and hosts, and the cause of its end. Exit code 1 " +
      "when no line names the request, 2 when a file cannot be read.",
    examples: [
      ["Read the logs of two hosts", "$0 trace 9c41d07be2a35f68 host-1.log host-2.log"],
      ["Read standard input", "$0 trace 9c41d07be2a35f68 -"],
    ],
  });

  requestId = Option.String({ name: "request id" });

  files = Option.Rest({ name: "file" });

  json = Option.Boolean("--json", false, { description: "Print JSON" });

  override async execute(): Promise<number> {
    const lines = await readLogLines(this.files, this.context);
    if (lines === undefined) {
      return EXIT_CODE.usage;
    }
    const trace = selectTrace(lines, this.requestId);
    if (trace.length === 0) {
      const known = `${lines.length} lines read`;
      this.context.stderr.write(
        `no line names request ${this.requestId} (${known}); add the logs of the other hosts\n`,
      );
      return EXIT_CODE.failure;
    }
    const cause = describeCause(trace, this.requestId);
    const text = this.json
      ? JSON.stringify({ request: this.requestId, cause, lines: trace }, null, 2)
      : [...trace.map(renderLine), `request ${this.requestId} ${cause}`].join("\n");
    this.context.stdout.write(`${text}\n`);
    return EXIT_CODE.ok;
  }
}

function renderLine({ time, host, event, name, fields }: LogLine): string {
  const values = Object.entries(fields)
    .filter(([field]) => field !== "request")
    .map(([field, value]) => `${field}=${value}`);
  return [time, host, event, name, ...values].join(" ");
}
