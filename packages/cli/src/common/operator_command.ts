import { Command, Option } from "clipanion";
import process from "node:process";
import type { OperatorTarget } from "./operator_target.ts";

const TOKEN_VARIABLE = "CROCUSSAIL_OPERATOR_TOKEN";

/** Base class of the commands that query operators' listeners. */
export abstract class OperatorCommand extends Command {
  operators = Option.Array("--operator", {
    required: true,
    description: "Base URL of a daemon's operators' listener; repeat it for a fleet",
  });

  json = Option.Boolean("--json", false, { description: "Print JSON" });

  /** Lists the listeners to query; without a token writes an error and returns undefined. */
  protected listTargets(): readonly OperatorTarget[] | undefined {
    const token = process.env[TOKEN_VARIABLE];
    if (token === undefined) {
      this.context.stderr.write(`${TOKEN_VARIABLE} is not set; set it to the operator token\n`);
      return undefined;
    }
    return this.operators.map((url) => ({ url: url.replace(/\/$/, ""), token }));
  }
}
