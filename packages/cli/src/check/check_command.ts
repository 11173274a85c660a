import { checkSettingsTree } from "@crocussail/daemon";
import { Command, Option } from "clipanion";
import { join } from "node:path";
import { EXIT_CODE } from "../common/exit_code.ts";
import { readSettingsTree } from "./read_settings_tree.ts";
import { renderFinding } from "./render_finding.ts";

/** `crocussail check`: validates a settings tree before it is published. */
export class CheckCommand extends Command {
  static override paths = [["check"]];
  static override usage = Command.Usage({
    description:
      "Checks a settings tree with the rules of the daemons, and the references between values",
    details: "Exit code 1 when there are findings, 2 when the directory cannot be read.",
    examples: [
      ["Check the tree of a repository", "$0 check settings/"],
      ["Print the findings as JSON", "$0 check settings/ --json"],
    ],
  });

  directory = Option.String({ name: "directory" });

  json = Option.Boolean("--json", false, { description: "Print JSON" });

  override async execute(): Promise<number> {
    const tree = await readSettingsTree(this.directory);
    if (tree.isLeft()) {
      this.context.stderr.write(`${tree.swap().unsafeCoerce().detail}\n`);
      return EXIT_CODE.usage;
    }
    const texts = tree.unsafeCoerce();
    const findings = checkSettingsTree(texts).map((finding) => ({
      file: join(this.directory, `${finding.path}.ini`),
      ...finding,
    }));
    if (this.json) {
      this.context.stdout.write(`${JSON.stringify({ values: texts.size, findings }, null, 2)}\n`);
    } else {
      findings.forEach((finding) => this.context.stdout.write(`${renderFinding(finding)}\n`));
      this.context.stdout.write(`${texts.size} values, ${findings.length} findings\n`);
    }
    return findings.length === 0 ? EXIT_CODE.ok : EXIT_CODE.failure;
  }
}
