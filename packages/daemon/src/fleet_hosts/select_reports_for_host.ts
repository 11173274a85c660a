import { HOST_LIMITS } from "./constants.ts";
import type { HostReport } from "./host_report_schema.ts";
import { rankRelays } from "./rank_relays.ts";

/**
 * Selects the reports that a host which knows few others needs: all of them if it knows less than
 * half of the hosts, as after a restart; otherwise those with which it takes part, of its data
 * centre and of the relays of every other one.
 */
export function selectReportsForHost(
  reports: readonly HostReport[],
  target: Pick<HostReport, "host" | "dataCentre" | "knownHosts">,
): HostReport[] {
  const others = reports.filter(({ host }) => host !== target.host);
  if (target.knownHosts < reports.length / 2) {
    return others;
  }
  const dataCentres = new Set(others.map(({ dataCentre }) => dataCentre));
  return [...dataCentres].flatMap((dataCentre) => {
    const ranked = rankRelays(others, dataCentre);
    return dataCentre === target.dataCentre ? ranked : ranked.slice(0, HOST_LIMITS.relaysPerBatch);
  });
}
