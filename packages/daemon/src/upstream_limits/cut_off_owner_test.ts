import type { Logger, Metrics } from "@crocussail/protocol";
import { expect } from "chai";
import { createManualClock } from "../common/create_manual_clock.ts";
import { createSeededRandom } from "../common/create_seeded_random.ts";
import { PERMIT_LIMITS } from "./constants.ts";
import { createUpstreamLimits } from "./create_upstream_limits.ts";
import type { PermitResult } from "./create_permit_client.ts";

const LOGGER: Logger = { writeEvent: () => {} };
const METRICS: Metrics = { increment: () => {}, gauge: () => {}, distribution: () => {} };
const UPSTREAM = { id: "u1", startedAt: 1 };
const COLD_MS = 800;
const NAMED_PER_SECOND = 2;
/** Hosts that were live before this one was cut off from them. */
const RECENT_HOSTS = 10;

describe("owner of a cold upstream with a named limit that is cut off from the fleet", () => {
  // Its rate is 0 meanwhile. Before, the refusal said an infinite time, and the upstream was left
  // out for ever.
  it("refuses until the end of the cold time, after which the upstream is used again", () => {
    const clock = createManualClock();
    let coldUntilMs = 0;
    const limits = createUpstreamLimits({
      clock,
      random: createSeededRandom(1),
      logger: LOGGER,
      metrics: METRICS,
      localHost: "h1",
      incarnation: "0123456789abcdef",
      hosts: {
        listLive: () => [],
        countRecent: () => RECENT_HOSTS,
        sendMessage: () => {},
        subscribeMessages: () => {},
        scheduleUrgentReport: () => {},
      },
      getCold: () =>
        coldUntilMs > clock.readMonotonicMs()
          ? { startedAt: 1, perSecond: 18, untilMs: coldUntilMs }
          : undefined,
      listCold: () => [],
      isLeaving: () => false,
    });
    clock.advance(PERMIT_LIMITS.settleMs);
    const nowMs = clock.readMonotonicMs();
    coldUntilMs = nowMs + COLD_MS;
    limits.recordObservation(UPSTREAM, {
      perSecond: NAMED_PER_SECOND,
      sentAtMs: nowMs,
      receivedAtMs: nowMs,
    });
    const results: PermitResult[] = [];
    limits.requestPermit(
      UPSTREAM,
      { priority: 1, waitMs: 0, patientMs: 0 },
      (result) => results.push(result),
    );
    const [result] = results;
    expect(result?.type).to.equal("refused");
    if (result?.type === "refused") {
      expect(result.freeInMs).to.be.at.most(COLD_MS);
      expect(result.retryAfterMs).to.be.at.most(COLD_MS + PERMIT_LIMITS.coldReturnSpreadMs);
    }
    clock.advance(COLD_MS);
    expect(limits.getFreeInMs(UPSTREAM)).to.equal(0);
    limits.stop();
  });
});
