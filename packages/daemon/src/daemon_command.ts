import { Command, Option } from "clipanion";
import process from "node:process";
import { loadDaemonFiles } from "./adapters/load_daemon_files.ts";
import { createProcessDaemon } from "./create_process_daemon.ts";

const EXIT_INVALID_SETTINGS = 2;
const EXIT_CANNOT_START = 3;

/** `crocussaild --settings FILE`: runs one daemon until SIGTERM or SIGINT shuts it down. */
export class DaemonCommand extends Command {
  static override usage = Command.Usage({
    description: "Runs one daemon",
    examples: [["Run with a settings file", "$0 --settings /etc/crocussail/daemon.ini"]],
  });

  settings = Option.String("--settings", {
    required: true,
    description: "INI file with the addresses, data centre and keys of this host",
  });

  debug = Option.String("--debug", "", {
    description:
      "Areas whose debug events are logged, comma separated: general, generations, orders",
  });

  override async execute(): Promise<number> {
    const loadResult = await loadDaemonFiles(this.settings);
    if (loadResult.isLeft()) {
      this.context.stderr.write(`${loadResult.swap().unsafeCoerce().detail}\n`);
      return EXIT_INVALID_SETTINGS;
    }
    const { config, tls } = loadResult.unsafeCoerce();
    const daemon = createProcessDaemon(config, {
      debugAreas: this.debug.split(",").filter((area) => area !== ""),
      ...(tls === undefined ? {} : { tls }),
    });
    try {
      await daemon.start();
    } catch (error) {
      this.context.stderr.write(`${this.settings}: ${(error as Error).message}\n`);
      await daemon.stop();
      return EXIT_CANNOT_START;
    }
    await new Promise<void>((resolve) => {
      const startShutdown = () => daemon.shutdown().then(resolve);
      process.on("SIGTERM", startShutdown);
      process.on("SIGINT", startShutdown);
    });
    return 0;
  }
}
