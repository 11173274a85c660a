import type { RandomSource } from "@crocussail/protocol";
import type { HostReport } from "../fleet_hosts/mod.ts";

/** What is known of a host that may accept a request. */
export type HandoverHost = Pick<
  HostReport,
  | "host"
  | "peerAddress"
  | "size"
  | "isReady"
  | "isLeaving"
  | "settingsVersion"
  | "protocolVersion"
  | "unreachableServices"
>;

/** Options of {@link chooseHandoverHost}. */
export interface HandoverChoice {
  readonly service: string;
  /** Version of this host's settings; a host with an older one could handle the request by it. */
  readonly settingsVersion: number;
  /** Hosts of builds with an earlier version are chosen only if no other one is left. */
  readonly minProtocolVersion: number;
  /** Names of hosts that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  readonly random: RandomSource;
}

/**
 * Chooses a host that reaches a service, at random in proportion to the hosts' sizes; undefined if
 * there is none.
 */
export function chooseHandoverHost<Host extends HandoverHost>(
  hosts: readonly Host[],
  { service, settingsVersion, minProtocolVersion, excluded, random }: HandoverChoice,
): Host | undefined {
  const fit = hosts.filter((host) =>
    host.isReady && !host.isLeaving && host.settingsVersion >= settingsVersion &&
    !excluded.has(host.host) && !host.unreachableServices.includes(service)
  );
  const current = fit.filter(({ protocolVersion }) => protocolVersion >= minProtocolVersion);
  const candidates = current.length > 0 ? current : fit;
  let left = random.nextFloat() * candidates.reduce((sum, { size }) => sum + size, 0);
  return candidates.find(({ size }) => (left -= size) < 0) ?? candidates.at(-1);
}
