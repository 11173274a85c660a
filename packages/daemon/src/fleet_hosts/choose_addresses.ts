import type { RandomSource } from "@crocussail/protocol";
import type { HostReport } from "./host_report_schema.ts";

/** A host whose address may be returned to callers. */
export type AddressCandidate = Pick<
  HostReport,
  "callerAddress" | "size" | "isReady" | "isLeaving" | "dataCentre"
>;

/** Largest number of addresses in one response, as documented for deployments. */
const MAX_ADDRESSES = 64;

/**
 * Chooses the addresses of ready hosts. Callers distribute their requests evenly over the addresses,
 * so a smaller host is omitted from some responses to get a share in proportion to its size.
 */
export function chooseAddresses(
  hosts: readonly AddressCandidate[],
  random: RandomSource,
): string[] {
  const ready = hosts.filter(({ isReady, isLeaving }) => isReady && !isLeaving);
  const largest = Math.max(0, ...ready.map(({ size }) => size));
  const sampled = ready.filter(({ size }) => size >= largest * random.nextFloat());
  const candidates = sampled.length > 0 ? sampled : ready;
  return candidates
    .map(({ callerAddress }) => ({ callerAddress, order: random.nextFloat() }))
    .sort((left, right) => left.order - right.order)
    .slice(0, MAX_ADDRESSES)
    .map(({ callerAddress }) => callerAddress);
}
