import { createSeededRandom, createSystemClock } from "@crocussail/daemon";
import { Command, Option } from "clipanion";
import process from "node:process";
import { EXIT_CODE } from "../common/exit_code.ts";
import { LOAD_DEFAULTS } from "./constants.ts";
import { listViolatedGuarantees } from "./list_violated_guarantees.ts";
import { renderLoadTable } from "./render_load_table.ts";
import { resolveLoadPlan } from "./resolve_load_plan.ts";
import { runLoad } from "./run_load.ts";

const KEY_VARIABLE = "CROCUSSAIL_API_KEY";
const PROGRESS_EVERY = 50;

/** `crocussail load`: sends a bounded load in the way a real caller does. */
export class LoadCommand extends Command {
  static override paths = [["load"]];
  static override usage = Command.Usage({
    description: "Sends a bounded, seeded load and checks every response",
    details: "The API key is taken from CROCUSSAIL_API_KEY. Exit code 1 when tokens or orders " +
      "were lost, duplicated or mixed up, 2 when the options are not valid.",
    examples: [
      ["A hundred requests", "$0 load http://10.0.0.1:8001 --model plan-70b --requests 100"],
      [
        "Half the streams resumed, as JSON",
        "$0 load http://10.0.0.1:8001 --model plan-70b --resume-share 0.5 --json",
      ],
    ],
  });

  url = Option.String({ name: "host url" });
  model = Option.String("--model", { required: true, description: "Model of the generations" });
  service = Option.String("--service", LOAD_DEFAULTS.service, {
    description: "Plain service of orders and reads",
  });
  orderPath = Option.String("--order-path", LOAD_DEFAULTS.orderPath, {
    description: "Path of an order within the service",
  });
  readPath = Option.String("--read-path", LOAD_DEFAULTS.readPath, {
    description: "Path of a read within the service",
  });
  kind = Option.String("--kind", LOAD_DEFAULTS.kind, { description: "Kind of work" });
  mix = Option.String("--mix", LOAD_DEFAULTS.mix, {
    description: "Weights of the requests, for example chat=8,order=1,read=1",
  });
  requests = Option.String("--requests", String(LOAD_DEFAULTS.requests), {
    description: "Maximum number of requests",
  });
  seconds = Option.String("--seconds", String(LOAD_DEFAULTS.seconds), {
    description: "Seconds after which no request is started",
  });
  concurrency = Option.String("--concurrency", String(LOAD_DEFAULTS.concurrency), {
    description: "Number of concurrent requests",
  });
  maxTokens = Option.String("--max-tokens", String(LOAD_DEFAULTS.maxTokens), {
    description: "Maximum number of tokens of a response",
  });
  seed = Option.String("--seed", String(LOAD_DEFAULTS.seed), { description: "Random seed" });
  resumeShare = Option.String("--resume-share", String(LOAD_DEFAULTS.resumeShare), {
    description: "Share of streams dropped once and resumed at another host",
  });
  stallMs = Option.String("--stall-ms", String(LOAD_DEFAULTS.stallMs), {
    description: "Milliseconds without a byte after which a stream is resumed at another host",
  });
  deadlineMs = Option.String("--deadline-ms", String(LOAD_DEFAULTS.deadlineMs), {
    description: "Milliseconds after which a response counts as late",
  });
  json = Option.Boolean("--json", false, { description: "Print JSON" });

  override async execute(): Promise<number> {
    const plan = resolveLoadPlan({ ...this, apiKey: process.env[KEY_VARIABLE] });
    if (plan.isLeft()) {
      this.context.stderr.write(`${plan.swap().unsafeCoerce().detail}\n`);
      return EXIT_CODE.usage;
    }
    const resolved = plan.unsafeCoerce();
    const summaries = await runLoad({
      plan: resolved,
      clock: createSystemClock(),
      random: createSeededRandom(resolved.seed),
      reportProgress: (ended) => this.reportProgress(ended, resolved.requests),
    });
    const text = this.json ? JSON.stringify(summaries, null, 2) : renderLoadTable(summaries);
    this.context.stdout.write(`${text}\n`);
    const violations = listViolatedGuarantees(summaries);
    violations.forEach((line) => this.context.stderr.write(`broken: ${line}\n`));
    return violations.length === 0 ? EXIT_CODE.ok : EXIT_CODE.failure;
  }

  private reportProgress(ended: number, requests: number): void {
    if (ended % PROGRESS_EVERY === 0) {
      this.context.stderr.write(`${ended} of ${requests} requests ended\n`);
    }
  }
}
