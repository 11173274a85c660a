import { resolveGatewayConfig } from "@crocussail/daemon/gateway_config";
import { Command, Option } from "clipanion";
import { readFile } from "node:fs/promises";
import { EXIT_CODE } from "../common/exit_code.ts";

/** `crocussail check-daemon`: validates the rendered settings file of a forwarding daemon. */
export class CheckDaemonCommand extends Command {
  static override paths = [["check-daemon"]];
  static override usage = Command.Usage({
    description: "Checks the settings file of a daemon that forwards requests by published routes",
    details: "Exit code 1 when there are findings, 2 when the file cannot be read.",
    examples: [["Check a rendered file", "$0 check-daemon crocussaild.ini"]],
  });

  file = Option.String({ name: "file" });

  override async execute(): Promise<number> {
    let text: string;
    try {
      text = await readFile(this.file, "utf8");
    } catch (error) {
      this.context.stderr.write(`${(error as Error).message}; pass a readable settings file\n`);
      return EXIT_CODE.usage;
    }
    const resolved = resolveGatewayConfig(this.file, text);
    this.context.stdout.write(
      `${resolved.swap().map(({ detail }) => detail).orDefault("no findings")}\n`,
    );
    return resolved.isRight() ? EXIT_CODE.ok : EXIT_CODE.failure;
  }
}
