import { Command } from "clipanion";
import { createLocalFleet } from "@crocussail/local_fleet";
import { runDemo } from "./run_demo.ts";

/** `crocussail demo`: three daemons and stand-ins in one process, one stream and one order. */
export class DemoCommand extends Command {
  static override paths = [["demo"]];
  static override usage = Command.Usage({
    description: "Runs daemons and stand-ins in one process and shows a stream and an order",
    examples: [["Run the demo", "$0 demo"]],
  });

  override async execute(): Promise<number> {
    const fleet = await createLocalFleet({ hosts: 3 });
    try {
      const failures = await runDemo(fleet, (line) => this.context.stdout.write(`${line}\n`));
      for (const failure of failures) {
        this.context.stderr.write(`failed: ${failure}\n`);
      }
      return failures.length === 0 ? 0 : 1;
    } finally {
      await fleet.close();
    }
  }
}
