import { Builtins, Cli } from "clipanion";
import process from "node:process";
import { CheckCommand } from "./check/check_command.ts";
import { CheckDaemonCommand } from "./check/check_daemon_command.ts";
import { DemoCommand } from "./demo/demo_command.ts";
import { EntryCommand } from "./entry/entry_command.ts";
import { ExplainCommand } from "./explain/explain_command.ts";
import { LoadCommand } from "./load/load_command.ts";
import { ReportCommand } from "./report/report_command.ts";
import { StateCommand } from "./state/state_command.ts";
import { TraceCommand } from "./trace/trace_command.ts";

const cli = new Cli({
  binaryLabel: "crocussail",
  binaryName: "crocussail",
  enableColors: process.stdout.isTTY === true,
});
for (
  const command of [
    Builtins.HelpCommand,
    CheckCommand,
    CheckDaemonCommand,
    DemoCommand,
    EntryCommand,
    ExplainCommand,
    LoadCommand,
    ReportCommand,
    StateCommand,
    TraceCommand,
  ]
) {
  cli.register(command);
}
cli.runExit(process.argv.slice(2));
