import { entryAnswerSchema } from "@crocussail/protocol";
import { Command, Option } from "clipanion";
import { request } from "undici";
import { EXIT_CODE } from "../common/exit_code.ts";

const TIMEOUT_MS = 5_000;

/** `crocussail entry`: the entry response that a caller would get. */
export class EntryCommand extends Command {
  static override paths = [["entry"]];
  static override usage = Command.Usage({
    description: "Shows which hosts a caller would be told to use",
    details: "Exit code 1 when the host does not respond.",
    examples: [
      ["Query one host", "$0 entry http://10.0.0.1:8001"],
      ["For callers near a data centre", "$0 entry http://10.0.0.1:8001 --data-centre toledo"],
    ],
  });

  url = Option.String({ name: "host url" });

  dataCentre = Option.String("--data-centre", { description: "Data centre nearest to the caller" });

  json = Option.Boolean("--json", false, { description: "Print JSON" });

  override async execute(): Promise<number> {
    const query = this.dataCentre === undefined
      ? ""
      : `?data_centre=${encodeURIComponent(this.dataCentre)}`;
    try {
      const answer = await request(`${this.url.replace(/\/$/, "")}/v1/entry${query}`, {
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      const entry = entryAnswerSchema.parse(await answer.body.json());
      const lines = entry.addresses.map((item) =>
        `${item.host}\t${item.address}:${item.port}\t${item.data_centre}\tweight ${item.weight}`
      );
      const text = this.json
        ? JSON.stringify(entry, null, 2)
        : [`valid for ${entry.ttl_ms} ms`, ...lines].join("\n");
      this.context.stdout.write(`${text}\n`);
      return EXIT_CODE.ok;
    } catch (error) {
      this.context.stderr.write(`${this.url}: ${error}; is a daemon listening there?\n`);
      return EXIT_CODE.failure;
    }
  }
}
