import type { ModelWorld } from "./model_world.ts";

/** Members that are rendered for each replica, or that only tell the replicas apart. */
const REPLICA_MEMBERS = new Set(["replica", "replies", "acknowledged"]);

/**
 * Creates a function that gives equal worlds equal names. Neither the order of messages under way
 * nor that of the replicas makes a difference. Worlds share most of their parts, so each part is
 * rendered once.
 */
export function createWorldFormat(): (world: ModelWorld) => string {
  const partNumbers = new Map<string, number>();
  const knownParts = new WeakMap<object, number>();

  const getPartNumber = (part: object | undefined): number => {
    if (part === undefined) {
      return -1;
    }
    const known = knownParts.get(part);
    if (known !== undefined) {
      return known;
    }
    const text = JSON.stringify(part, skipReplicaMembers);
    const number = partNumbers.get(text) ?? partNumbers.size;
    partNumbers.set(text, number);
    knownParts.set(part, number);
    return number;
  };

  const formatReplica = (world: ModelWorld, replica: number): string => {
    const claimants = world.claimants.map(({ state }) =>
      `${getPartNumber(state.replies[replica])}${state.acknowledged[replica] ? "+" : "-"}`
    );
    const network = world.network
      .filter((message) => message.replica === replica)
      .map(getPartNumber)
      .sort((left, right) => left - right);
    return `${getPartNumber(world.replicas[replica])}:${claimants.join()}:${network.join()}`;
  };

  return (world) => {
    const replicas = world.replicas.map((_replica, index) => formatReplica(world, index)).sort();
    const parts = [...world.claimants, world.faults].map(getPartNumber);
    const told = `${world.dispatches}${world.isToldNotRun}${world.isToldRun}`;
    return `${parts.join()};${replicas.join("|")};${told}`;
  };
}

function skipReplicaMembers(name: string, value: unknown): unknown {
  return REPLICA_MEMBERS.has(name) ? undefined : value;
}
