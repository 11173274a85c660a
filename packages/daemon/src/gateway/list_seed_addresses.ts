import { splitAddress } from "../common/split_address.ts";

/** Lists where seeds receive reports: their hosts with the port that all hosts use for them. */
export function listSeedAddresses(seeds: readonly string[], peerPort: number): string[] {
  return seeds.map((seed) => `${splitAddress(seed).host}:${peerPort}`);
}
