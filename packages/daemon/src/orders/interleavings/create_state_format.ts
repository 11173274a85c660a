import type { ModelState } from "./model_state.ts";

/**
 * Fields that the text of a part omits: `replies` and `acknowledged` are rendered for each replica
 * separately, and `replica` only numbers the replicas.
 */
const REPLICA_MEMBERS = new Set(["replica", "replies", "acknowledged"]);

/**
 * Creates a function that renders equal model states as equal texts. Neither the order of in-flight
 * messages nor that of the replicas makes a difference. Model states share most of their parts, so
 * each part is rendered once.
 */
export function createStateFormat(): (model: ModelState) => string {
  const numbersByText = new Map<string, number>();
  const numbersByPart = new WeakMap<object, number>();

  const getPartNumber = (part: object | undefined): number => {
    if (part === undefined) {
      return -1;
    }
    const known = numbersByPart.get(part);
    if (known !== undefined) {
      return known;
    }
    const text = JSON.stringify(part, skipReplicaMembers);
    const number = numbersByText.get(text) ?? numbersByText.size;
    numbersByText.set(text, number);
    numbersByPart.set(part, number);
    return number;
  };

  const formatReplica = (model: ModelState, replica: number): string => {
    const claimants = model.claimants.map(({ state }) =>
      `${getPartNumber(state.replies[replica])}${state.acknowledged[replica] ? "+" : "-"}`
    );
    const network = model.network
      .filter((message) => message.replica === replica)
      .map(getPartNumber)
      .sort((left, right) => left - right);
    return `${getPartNumber(model.replicas[replica])}:${claimants.join()}:${network.join()}`;
  };

  return (model) => {
    const replicas = model.replicas.map((_replica, index) => formatReplica(model, index)).sort();
    const parts = [...model.claimants, model.faults].map(getPartNumber);
    const reported = `${model.dispatchCount}${model.isNotRunReported}${model.isCompletionReported}`;
    return `${parts.join()};${replicas.join("|")};${reported}`;
  };
}

function skipReplicaMembers(name: string, value: unknown): unknown {
  return REPLICA_MEMBERS.has(name) ? undefined : value;
}
