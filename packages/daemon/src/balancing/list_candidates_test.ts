import { expect } from "chai";
import { createSeededRandom } from "../common/create_seeded_random.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { createLoadState } from "./create_load_state.ts";
import { listCandidates } from "./list_candidates.ts";
import type { LoadState, ObservedPerformance } from "./load_state.ts";

const NOW_MS = 1_000;

const createUpstream = (index: number): Upstream => ({
  record: {
    id: `u${index}`,
    service: "llm",
    address: "10.0.0.1:80",
    dataCentre: "a",
    slots: 24,
    isLeaving: false,
    slowForMs: 0,
    sequence: 0,
    startedAt: 1,
  },
  status: "ready",
  sinceMs: 0,
  isAbsent: false,
  slowUntilMs: 0,
  coldUntilMs: 0,
  startSeenMs: 0,
});

/** Averages in the order of the reports, upstream by upstream. */
function computeReference(state: LoadState, id: string): Partial<ObservedPerformance> {
  const reports = [
    state.conduct,
    ...[...state.peers.values()].filter(({ expiresAtMs }) => NOW_MS <= expiresAtMs)
      .map(({ conduct }) => conduct),
  ];
  const all = reports.flatMap((report) => report.get(id) ?? []);
  const average = (values: readonly (number | undefined)[]) => {
    const known = values.filter((value) => value !== undefined);
    return known.length === 0
      ? undefined
      : known.reduce((sum, value) => sum + value, 0) / known.length;
  };
  return {
    tokensPerMs: average(all.map(({ tokensPerMs }) => tokensPerMs)),
    tokenMs: average(all.map(({ tokenMs }) => tokenMs)),
    failureShare: average(all.map(({ failureShare }) => failureShare)) ?? 0,
  };
}

describe("listCandidates", () => {
  it("averages the unexpired observations of each upstream", () => {
    const random = createSeededRandom(3);
    const state = createLoadState();
    const observe = (): [string, ObservedPerformance] => [`u${random.nextInteger(40)}`, {
      tokensPerMs: random.nextFloat() < 0.2 ? undefined : 10 * random.nextFloat(),
      tokenMs: random.nextFloat() < 0.2 ? undefined : 8 * random.nextFloat(),
      failureShare: random.nextFloat(),
    }];
    const observeSome = () => new Map(Array.from({ length: 4 }, observe));
    observeSome().forEach((observed, id) => state.conduct.set(id, observed));
    for (let peer = 0; peer < 72; peer++) {
      const expiresAtMs = peer % 9 === 0 ? NOW_MS - 1 : NOW_MS;
      state.peers.set(`h${peer}`, { expiresAtMs, loads: new Map(), conduct: observeSome() });
    }
    const upstreams = Array.from({ length: 50 }, (_, index) => createUpstream(index));
    const candidates = listCandidates(state, upstreams, NOW_MS);
    const isObserved = ({ upstream }: { upstream: Upstream }) =>
      computeReference(state, upstream.record.id).tokensPerMs !== undefined &&
      computeReference(state, upstream.record.id).tokenMs !== undefined;
    expect(candidates.filter(isObserved).length).to.be.within(20, 40);
    for (const candidate of candidates.filter(isObserved)) {
      expect(candidate.conduct).to.deep.equal(
        computeReference(state, candidate.upstream.record.id),
      );
    }
    // Upstreams that nobody has observed count as average ones.
    const [first, ...others] = candidates.filter(({ upstream }) =>
      Number(upstream.record.id.slice(1)) >= 40
    );
    expect(others).to.have.length(9);
    others.forEach(({ conduct }) => expect(conduct).to.deep.equal(first?.conduct));
  });
});
