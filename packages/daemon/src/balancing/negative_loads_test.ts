import { expect } from "chai";
import { countRequestsElsewhere } from "./count_requests_elsewhere.ts";
import { estimateConcurrentChoices } from "./estimate_concurrent_choices.ts";
import type { UpstreamCandidate } from "./upstream_candidate.ts";

const HOSTS = 73;
const candidate = {
  upstream: { record: { id: "u1", slots: 24 } },
  load: { inFlight: -9, memoryTokens: 0, prefillingTokens: -90_000 },
  conduct: { tokensPerMs: 14, tokenMs: 10, failureShare: 0 },
} as unknown as UpstreamCandidate;

// The check of a report allows negative loads. A negative number of choices gave every upstream the
// share 0, so that each request was refused.
describe("negative loads in a report of a large fleet", () => {
  it("count as no choices of engines by other hosts", () => {
    const inputs = { hosts: HOSTS, candidates: [candidate], promptTokens: 2_550 };
    expect(estimateConcurrentChoices({ ...inputs, countDraining: () => 0 })).to.equal(0);
    expect(estimateConcurrentChoices({ ...inputs, countDraining: () => 3 })).to.equal(3);
  });

  it("count as no requests of other hosts to plain upstreams", () => {
    expect(countRequestsElsewhere(HOSTS, [candidate], new Map())).to.equal(0);
  });
});
