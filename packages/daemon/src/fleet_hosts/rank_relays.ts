import { isLosslessRelay } from "./is_lossless_relay.ts";

/** What the choice of relays depends on. */
export interface RelayCandidate {
  readonly host: string;
  readonly dataCentre: string;
  readonly size: number;
  readonly protocolVersion: number;
}

/**
 * Orders the hosts of a data centre by their preference as relays: those that keep all fields of a
 * report before those of protocol version 0, then the largest first, hosts of one size by name. Hosts
 * with the same candidates choose the same relays.
 */
export function rankRelays<T extends RelayCandidate>(
  candidates: readonly T[],
  dataCentre: string,
): T[] {
  return candidates
    .filter((candidate) => candidate.dataCentre === dataCentre)
    .sort((left, right) =>
      Number(isLosslessRelay(right)) - Number(isLosslessRelay(left)) ||
      right.size - left.size || (left.host < right.host ? -1 : 1)
    );
}
