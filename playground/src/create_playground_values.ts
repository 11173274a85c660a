import { createHash } from "node:crypto";
import { PLAYGROUND } from "./constants.ts";

/** Creates the published values of the playground, except its hosts. */
export function createPlaygroundValues(
  options: { engineUrls: readonly string[]; serviceUrl: string },
): Record<string, string> {
  const sha256 = createHash("sha256").update(PLAYGROUND.apiKey).digest("hex");
  const engines = options.engineUrls.map((url, index) => [
    `upstreams/plan-${index + 1}`,
    `kind = engine\nurl = ${url}\ndata_centre = toledo\nmodels = plan-70b\n` +
    "capacity_tokens = 100000\n",
  ]);
  return {
    "fleet/limits": `entry_ttl_ms = ${PLAYGROUND.entryTtlMs}\n`,
    "fleet/services": "[stock]\nnon_repeatable = POST /bookings\n",
    "models/plan-70b": "version = 1\nreplicas = 3\n",
    "upstreams/stock-1":
      `kind = service\nservice = stock\nurl = ${options.serviceUrl}\ndata_centre = toledo\n`,
    "teams/planners/access": "models = plan-70b\n",
    "teams/planners/kinds": "[plan]\nurgency = 5\ndeadline_ms = 120000\n",
    "teams/planners/services": "[stock]\ndeadline_ms = 5000\n",
    "teams/planners/keys": `[playground]\nsha256 = ${sha256}\n`,
    ...Object.fromEntries(engines),
  };
}
