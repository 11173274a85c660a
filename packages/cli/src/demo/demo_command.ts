import { createSystemClock } from "@crocussail/daemon";
import { createLocalFleet } from "@crocussail/local_fleet";
import type { LocalFleet } from "@crocussail/local_fleet";
import { Command, Option } from "clipanion";
import { EXIT_CODE } from "../common/exit_code.ts";
import { runDemo } from "./run_demo.ts";

const MAX_HOLD_SECONDS = 3_600;
const MS_PER_SECOND = 1_000;

/**
 * `crocussail demo`: runs three daemons with stand-ins in one process, and sends them a streaming
 * request and an order.
 */
export class DemoCommand extends Command {
  static override paths = [["demo"]];
  static override usage = Command.Usage({
    description:
      "Runs daemons with stand-ins in one process, and sends them a streaming request and an order",
    details: "Exit code 1 when the stream or the order did not behave as guaranteed.",
    examples: [
      ["Run the demo", "$0 demo"],
      ["Keep the fleet running for five minutes to try other commands on it", "$0 demo --hold 300"],
    ],
  });

  hold = Option.String("--hold", "0", {
    description: "Seconds to keep the fleet running after the demo, at most 3600",
  });

  override async execute(): Promise<number> {
    const holdSeconds = Number(this.hold);
    if (!(holdSeconds >= 0 && holdSeconds <= MAX_HOLD_SECONDS)) {
      this.context.stderr.write(`--hold ${this.hold}: expected seconds from 0 to 3600\n`);
      return EXIT_CODE.usage;
    }
    const fleet = await createLocalFleet({ hosts: 3 });
    try {
      const failures = await runDemo(fleet, (line) => this.printLine(line));
      failures.forEach((failure) => this.context.stderr.write(`failed: ${failure}\n`));
      await this.waitBeforeClose(fleet, holdSeconds);
      return failures.length === 0 ? EXIT_CODE.ok : EXIT_CODE.failure;
    } finally {
      await fleet.close();
    }
  }

  private async waitBeforeClose(fleet: LocalFleet, seconds: number): Promise<void> {
    if (seconds === 0) {
      return;
    }
    const [first] = fleet.daemons;
    this.printLine(`the fleet keeps running for ${seconds} s; try in another shell:`);
    this.printLine(`  export CROCUSSAIL_API_KEY=${fleet.apiKey}`);
    this.printLine(`  export CROCUSSAIL_OPERATOR_TOKEN=${fleet.operatorToken}`);
    this.printLine(`  npx crocussail load ${first?.url} --model plan-70b`);
    this.printLine(`  npx crocussail state --operator http://127.0.0.1:${first?.ports.operator}`);
    await new Promise<void>((resolve) => {
      createSystemClock().startTimer(seconds * MS_PER_SECOND, resolve);
    });
  }

  private printLine(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }
}
