import type { Logger, ResultError } from "@crocussail/protocol";
import type { Either } from "purify-ts";
import type { Gateway } from "./create_gateway.ts";
import type { GatewayConfig } from "./gateway_config_schema.ts";

/** Options of {@link applyReload}. */
export interface ReloadOptions {
  /** Configuration that the process started with. */
  readonly startConfig: GatewayConfig;
  readonly gateway: Pick<Gateway, "setSeeds">;
  readonly logger: Logger;
  readonly readConfig: () => Either<ResultError, GatewayConfig>;
}

/**
 * Applies a changed configuration file. New seeds take effect at once; the names of other changed
 * values are logged, as they need a restart. An invalid file changes nothing.
 */
export function applyReload(options: ReloadOptions): void {
  const { startConfig, gateway, logger } = options;
  options.readConfig().caseOf({
    Left: ({ detail }) => logger.writeEvent("gatewayReloadFailed", { detail }),
    Right: (next) => {
      gateway.setSeeds(next.peers.seeds);
      logger.writeEvent("gatewayReloaded", {
        seeds: next.peers.seeds.length,
        needsRestart: listChangedNames(startConfig, next).join(",") || "none",
      });
    },
  });
}

function listChangedNames(startConfig: GatewayConfig, next: GatewayConfig): string[] {
  const before = collectValuesByName(startConfig);
  const after = collectValuesByName(next);
  const names = new Set([...before.keys(), ...after.keys()]);
  names.delete("peers.seeds");
  return [...names].filter((name) => before.get(name) !== after.get(name)).sort();
}

function collectValuesByName(config: GatewayConfig): Map<string, string> {
  return new Map(
    Object.entries(config).flatMap(([section, fields]) =>
      Object.entries(fields).map(([name, value]) => [`${section}.${name}`, JSON.stringify(value)])
    ),
  );
}
