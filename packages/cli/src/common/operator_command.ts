import { Command, Option } from "clipanion";
import process from "node:process";
import type { OperatorTarget } from "./operator_options.ts";

const TOKEN_VARIABLE = "CROCUSSAIL_OPERATOR_TOKEN";

/** Base of the commands that ask operators' listeners. */
export abstract class OperatorCommand extends Command {
  operators = Option.Array("--operator", {
    required: true,
    description: "Base URL of a daemon's operators' listener; repeat it for a fleet",
  });

  json = Option.Boolean("--json", false, { description: "Print JSON" });

  /** Lists the listeners to ask; undefined after a message when the token is not set. */
  protected listTargets(): readonly OperatorTarget[] | undefined {
    const token = process.env[TOKEN_VARIABLE];
    if (token === undefined) {
      this.context.stderr.write(`${TOKEN_VARIABLE} is not set; put the operator token there\n`);
      return undefined;
    }
    return this.operators.map((url) => ({ url: url.replace(/\/$/, ""), token }));
  }
}
