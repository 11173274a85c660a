import { Command, Option } from "clipanion";
import { readFile } from "node:fs/promises";
import process from "node:process";
import { resolveDaemonConfig } from "./config/mod.ts";
import { createProcessDaemon } from "./create_process_daemon.ts";

const EXIT_INVALID_SETTINGS = 2;

/** `crocussaild --settings FILE`: runs one daemon until it is told to leave. */
export class DaemonCommand extends Command {
  static override usage = Command.Usage({
    description: "Runs one daemon",
    examples: [["Run with a settings file", "$0 --settings /etc/crocussail/daemon.ini"]],
  });

  settings = Option.String("--settings", {
    required: true,
    description: "INI file with the addresses, data centre and keys of this host",
  });

  override async execute(): Promise<number> {
    const text = await readFile(this.settings, "utf8").catch((error) => {
      this.context.stderr.write(`${this.settings}: ${error.message}; name a readable INI file\n`);
      return undefined;
    });
    if (text === undefined) {
      return EXIT_INVALID_SETTINGS;
    }
    const config = resolveDaemonConfig({ file: this.settings, text });
    if (config.isLeft()) {
      this.context.stderr.write(`${config.swap().unsafeCoerce().detail}\n`);
      return EXIT_INVALID_SETTINGS;
    }
    const daemon = createProcessDaemon(config.unsafeCoerce());
    await daemon.start();
    await new Promise<void>((resolve) => {
      const leave = () => daemon.shutdown().then(resolve);
      process.on("SIGTERM", leave);
      process.on("SIGINT", leave);
    });
    return 0;
  }
}
