import { stateDumpSchema } from "@crocussail/protocol";
import { Command } from "clipanion";
import { EXIT_CODE } from "../common/exit_code.ts";
import { fetchOperatorJson } from "../common/fetch_operator_json.ts";
import { OperatorCommand } from "../common/operator_command.ts";
import { renderState } from "./render_state.ts";

/** `crocussail state`: shows the state of one daemon or of a fleet. */
export class StateCommand extends OperatorCommand {
  static override paths = [["state"]];
  static override usage = Command.Usage({
    description: "Shows the state of daemons",
    details: "The operator token is taken from CROCUSSAIL_OPERATOR_TOKEN. Exit code 1 when a " +
      "daemon does not respond, 2 when the token is missing.",
    examples: [
      ["One daemon", "$0 state --operator http://10.0.0.1:7001"],
      [
        "A fleet as JSON",
        "$0 state --operator http://10.0.0.1:7001 --operator http://10.0.0.2:7001 --json",
      ],
    ],
  });

  override async execute(): Promise<number> {
    const targets = this.listTargets();
    if (targets === undefined) {
      return EXIT_CODE.usage;
    }
    const answers = await Promise.all(
      targets.map((target) => fetchOperatorJson(target, "/state")),
    );
    const states = answers.flatMap((answer) =>
      answer.map((body) => [stateDumpSchema.parse(body)]).orDefault([])
    );
    const failures = answers.flatMap((answer) =>
      answer.swap().map((error) => [error.detail]).orDefault([])
    );
    const text = this.json ? JSON.stringify(states, null, 2) : states.map(renderState).join("\n");
    this.context.stdout.write(`${text}\n`);
    failures.forEach((failure) => this.context.stderr.write(`${failure}\n`));
    return failures.length === 0 ? EXIT_CODE.ok : EXIT_CODE.failure;
  }
}
