import type { Logger, ResultError } from "@crocussail/protocol";
import type { Either } from "purify-ts";
import type { Gateway } from "./create_gateway.ts";
import type { GatewayConfig } from "./gateway_config_schema.ts";

/** Options of {@link applyReload}. */
export interface ReloadOptions {
  /** Settings that the process started with. */
  readonly started: GatewayConfig;
  readonly gateway: Pick<Gateway, "setSeeds">;
  readonly logger: Logger;
  readonly readConfig: () => Either<ResultError, GatewayConfig>;
}

/**
 * Takes a changed settings file: seeds come into force at once, other changes are named in the log
 * and need a restart; a file that is not valid changes nothing.
 */
export function applyReload(options: ReloadOptions): void {
  const { started, gateway, logger } = options;
  options.readConfig().caseOf({
    Left: ({ detail }) => logger.writeEvent("gatewayReloadFailed", { detail }),
    Right: (next) => {
      gateway.setSeeds(next.peers.seeds);
      logger.writeEvent("gatewayReloaded", {
        seeds: next.peers.seeds.length,
        needsRestart: listChanged(started, next).join(",") || "none",
      });
    },
  });
}

function listChanged(started: GatewayConfig, next: GatewayConfig): string[] {
  const before = listValues(started);
  const after = listValues(next);
  const names = new Set([...before.keys(), ...after.keys()]);
  names.delete("peers.seeds");
  return [...names].filter((name) => before.get(name) !== after.get(name)).sort();
}

function listValues(config: GatewayConfig): Map<string, string> {
  return new Map(
    Object.entries(config).flatMap(([section, fields]) =>
      Object.entries(fields).map(([name, value]) => [`${section}.${name}`, JSON.stringify(value)])
    ),
  );
}
