import { explanationSchema } from "@crocussail/protocol";
import { Command, Option } from "clipanion";
import { EXIT_CODE } from "../common/exit_code.ts";
import { fetchOperatorJson } from "../common/fetch_operator_json.ts";
import { OperatorCommand } from "../common/operator_command.ts";
import { renderExplanation } from "./render_explanation.ts";

/** `crocussail explain`: why a request was routed as it was, or refused. */
export class ExplainCommand extends OperatorCommand {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    description: "Shows the decisions about a request",
    details: "The request id is in the x-request-id header of every response. Daemons keep the " +
      "decisions of a limited number of requests. Exit code 1 when no daemon knows the request.",
    examples: [[
      "Query two hosts",
      "$0 explain 5f0c9a1e --operator http://10.0.0.1:7001 --operator http://10.0.0.2:7001",
    ]],
  });

  requestId = Option.String({ name: "request id" });

  override async execute(): Promise<number> {
    const targets = this.listTargets();
    if (targets === undefined) {
      return EXIT_CODE.usage;
    }
    const path = `/explain/${encodeURIComponent(this.requestId)}`;
    const answers = await Promise.all(targets.map((target) => fetchOperatorJson(target, path)));
    const found = answers.flatMap((answer) =>
      answer.map((body) => [explanationSchema.parse(body)]).orDefault([])
    );
    if (found.length === 0) {
      const details = answers.map((answer) => answer.swap().map((error) => error.detail).extract());
      this.context.stderr.write(`${details.join("\n")}\n`);
      return EXIT_CODE.failure;
    }
    const text = this.json
      ? JSON.stringify(found, null, 2)
      : found.map(renderExplanation).join("\n");
    this.context.stdout.write(`${text}\n`);
    return EXIT_CODE.ok;
  }
}
