import type { WaitingLoadFigures, WaitingShare } from "./waiting_load_options.ts";
import type { WaitingLoadRequest } from "./waiting_load_request.ts";

const LARGEST_SHARE = 0.1;
const NEXT_SHARE = 0.3;

/** Tallies how requests ended: all, by kind, size, account and data centre. */
export function tallyWaitingLoad(requests: readonly WaitingLoadRequest[]): WaitingLoadFigures {
  const groups: Record<string, readonly WaitingLoadRequest[]> = { all: requests };
  for (const name of ["long", "short"]) {
    const ofKind = requests.filter(({ isLong }) => isLong === (name === "long"))
      .toSorted((left, right) => right.promptTokens - left.promptTokens);
    groups[name] = ofKind;
    groups[`${name}, largest tenth`] = ofKind.slice(0, Math.ceil(ofKind.length * LARGEST_SHARE));
    groups[`${name}, next fifth`] = ofKind.slice(
      Math.ceil(ofKind.length * LARGEST_SHARE),
      Math.ceil(ofKind.length * NEXT_SHARE),
    );
  }
  for (const account of ["large", "small"]) {
    groups[`account ${account}`] = requests.filter((request) => request.account === account);
  }
  groups["data centre with three times"] = requests.filter(({ dataCentre }) => dataCentre === 0);
  groups["other data centres"] = requests.filter(({ dataCentre }) => dataCentre !== 0);
  return Object.fromEntries(
    Object.entries(groups).map(([name, group]) => [name, tallyGroup(group)]),
  );
}

function tallyGroup(requests: readonly WaitingLoadRequest[]): WaitingShare {
  const count = Math.max(1, requests.length);
  const refused = requests.filter(({ refusedMs }) => refusedMs !== undefined);
  const inTarget = requests.filter(({ firstMs, arrivedMs, targetMs }) =>
    firstMs !== undefined && firstMs - arrivedMs <= targetMs
  );
  const waitedMs = refused.reduce(
    (sum, { refusedMs = 0, arrivedMs }) => sum + refusedMs - arrivedMs,
    0,
  );
  return {
    asked: requests.length,
    inTarget: inTarget.length / count,
    late: (requests.length - inTarget.length - refused.length) / count,
    refused: refused.length / count,
    refusedAfterMs: Math.round(waitedMs / Math.max(1, refused.length)),
  };
}
