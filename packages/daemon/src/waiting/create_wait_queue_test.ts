import { expect } from "chai";
import { WAITING_LIMITS } from "./constants.ts";
import { createTestHosts } from "./testing/create_test_hosts.ts";
import type { TestHosts } from "./testing/create_test_hosts.ts";

const LARGE = { promptTokens: 6_000, memoryTokens: 6_000 };
const URGENT = { priority: 0 };
const LESS_URGENT = { priority: 2 };
const BOUND_MS = 2 * WAITING_LIMITS.reportAgeMs;
const TICK_MS = 50;
const listStarted = ({ started }: TestHosts) => started.map(([id]) => id);

describe("createWaitQueue", () => {
  it("starts a large request beside many small ones that take room as it becomes free", () => {
    const test = createTestHosts({ hosts: 1, freeTokens: [2_000, 1_000] });
    test.enter(0, "large", LARGE);
    for (let step = 1; step <= 30 && !listStarted(test).includes("large"); step++) {
      test.nowMs += TICK_MS;
      test.enter(0, `small${step}`);
      // A generation ends at each engine in turn, so that there is always room for one small one.
      const engine = `e${step % 2}`;
      test.engines.set(engine, (test.engines.get(engine) ?? 0) - 1_500);
      test.tick(0);
    }
    const started = listStarted(test);
    expect(started).to.include("large");
    expect(started.length, "small ones started at the other engine").to.be.above(2);
  });

  it("does not let a new request pass one that waits, but lets it start where both fit", () => {
    const test = createTestHosts({ hosts: 1, freeTokens: [1_000, 1_000] });
    test.enter(0, "first", { memoryTokens: 3_000 });
    test.engines.set("e0", 24_748 - 3_500);
    test.enter(0, "passing");
    expect(listStarted(test), "room of the first").to.deep.equal([]);
    test.engines.set("e1", 24_748 - 1_600);
    test.enter(0, "beside");
    expect(test.started, "an engine that the first does not need").to.deep.equal([]);
    test.tick(0);
    expect(listStarted(test)).to.deep.equal(["first"]);
    test.tick(0);
    expect(test.started[1]).to.deep.equal(["passing", "e1"]);
  });

  it("starts a request at once on an engine that the reserving one cannot use", () => {
    const test = createTestHosts({ hosts: 1, freeTokens: [4_000, 2_000] });
    test.enter(0, "large", LARGE);
    test.enter(0, "small");
    expect(test.started).to.deep.equal([["small", "e1"]]);
  });

  it("ends a reservation after its time, so that no engine waits for a request for ever", () => {
    const test = createTestHosts({ hosts: 1, freeTokens: [4_000] });
    test.enter(0, "large", LARGE);
    test.tick(0);
    test.nowMs += WAITING_LIMITS.reserveMs;
    test.enter(0, "early");
    expect(listStarted(test)).to.deep.equal([]);
    test.nowMs += TICK_MS;
    test.tick(0);
    expect(listStarted(test)).to.deep.equal(["early"]);
  });

  it("leaves the last room to an urgent request that waits at another host", () => {
    const test = createTestHosts({ hosts: 2, freeTokens: [0] });
    test.enter(0, "urgent", URGENT);
    test.report(0);
    test.engines.set("e0", 24_748 - 2_000);
    test.nowMs += TICK_MS;
    test.enter(1, "less urgent", LESS_URGENT);
    test.tick(1);
    expect(listStarted(test)).to.deep.equal([]);
    test.tick(0);
    expect(listStarted(test)).to.deep.equal(["urgent"]);
  });

  it("leaves the last room to an equally urgent request that has waited longer elsewhere", () => {
    const test = createTestHosts({ hosts: 2, freeTokens: [0] });
    test.enter(0, "older");
    test.nowMs += 200;
    test.report(0);
    test.engines.set("e0", 24_748 - 2_000);
    test.enter(1, "newer");
    expect(listStarted(test)).to.deep.equal([]);
    test.tick(0);
    expect(listStarted(test)).to.deep.equal(["older"]);
  });

  it("starts a less urgent request at once where there is room for both", () => {
    const test = createTestHosts({ hosts: 2, freeTokens: [0] });
    test.enter(0, "urgent", URGENT);
    test.report(0);
    test.engines.set("e0", 24_748 - 3_500);
    test.enter(1, "less urgent", LESS_URGENT);
    expect(listStarted(test)).to.deep.equal(["less urgent"]);
  });

  it("defers to a dead host, or one whose next report is lost, for two report ages only", () => {
    const test = createTestHosts({ hosts: 2, freeTokens: [0] });
    test.enter(0, "urgent", URGENT);
    test.report(0); // its host dies now
    test.engines.set("e0", 24_748 - 2_000);
    test.enter(1, "less urgent", LESS_URGENT);
    for (; listStarted(test).length === 0 && test.nowMs <= 2 * BOUND_MS; test.nowMs += TICK_MS) {
      test.tick(1);
    }
    expect(listStarted(test)).to.deep.equal(["less urgent"]);
    expect(test.nowMs).to.be.within(BOUND_MS, BOUND_MS + 2 * TICK_MS);
  });

  it("defers to a host that reports and does not use the room for two report ages only", () => {
    const test = createTestHosts({ hosts: 2, freeTokens: [0] });
    test.enter(0, "urgent", URGENT);
    test.report(0);
    test.engines.set("e0", 24_748 - 2_000);
    test.enter(1, "less urgent", LESS_URGENT);
    for (; listStarted(test).length === 0 && test.nowMs <= 2 * BOUND_MS; test.nowMs += TICK_MS) {
      test.report(0);
      test.tick(1);
    }
    expect(listStarted(test)).to.deep.equal(["less urgent"]);
    expect(test.nowMs).to.be.at.most(BOUND_MS + 2 * TICK_MS);
  });

  it("keeps room for a large request of another host, for a bounded time", () => {
    const test = createTestHosts({ hosts: 2, freeTokens: [4_000] });
    test.enter(0, "large", { ...LARGE, ...URGENT });
    for (; listStarted(test).length === 0 && test.nowMs < 5_000; test.nowMs += TICK_MS) {
      test.tick(0);
      test.report(0);
      if (test.nowMs === 0) {
        test.enter(1, "small", LESS_URGENT);
      }
      test.tick(1);
    }
    expect(test.nowMs).to.be.within(
      WAITING_LIMITS.reserveMs,
      WAITING_LIMITS.reserveMs + 4 * TICK_MS,
    );
  });

  it("does not change the way of a request while hosts report nothing, as former builds do", () => {
    const test = createTestHosts({ hosts: 2, freeTokens: [2_000] });
    test.report(0);
    expect(test.hosts[1]?.queue.isContested("llm", 0)).to.equal(false);
    test.enter(1, "one");
    expect(listStarted(test)).to.deep.equal(["one"]);
    for (; test.nowMs < 5_000; test.nowMs += TICK_MS) {
      test.tick(1);
    }
    expect(test.hosts[1]?.queue.listReported(test.nowMs)).to.deep.equal([]);
    expect(test.hosts[1]?.countReports(), "no messages in a calm second").to.equal(0);
  });

  it("repeats its report only while its request is among the first of the fleet", () => {
    const test = createTestHosts({ hosts: 20, freeTokens: [0] });
    for (let host = 0; host < 20; host++) {
      test.enter(host, `r${host}`, { expiresAtMs: 60_000, targetAtMs: 60_000 });
      test.nowMs += 100;
    }
    const startMs = test.nowMs;
    for (; test.nowMs < startMs + 3_000; test.nowMs += TICK_MS) {
      test.hosts.forEach((_, host) => test.tick(host));
      test.hosts.forEach((_, host) => test.report(host));
    }
    const counts = test.hosts.map(({ countReports }) => countReports());
    expect(counts[0]).to.be.within(9, 12);
    expect(counts.slice(9).every((count) => count <= 3), counts.join(" ")).to.equal(true);
  });

  it("gives an account with a tenth of the requests its share in each class of slack", () => {
    const test = createTestHosts({ hosts: 1, freeTokens: [0] });
    for (let index = 0; index < 20; index++) {
      test.enter(0, `large${index}`, { account: "large" });
    }
    test.enter(0, "small0", { account: "small" });
    test.enter(0, "small1", { account: "small" });
    for (let turn = 0; turn < 6; turn++) {
      test.engines.set("e0", 24_748 - 1_500);
      test.tick(0);
    }
    expect(listStarted(test).slice(0, 4)).to.include.members(["small0", "small1"]);
    expect(listStarted(test).filter((id) => id.startsWith("large"))).to.have.length(4);
  });

  it("orders by slack, and gives some turns to requests past their target", () => {
    const test = createTestHosts({ hosts: 1, freeTokens: [0] });
    test.enter(0, "past", { targetAtMs: 50 });
    for (let index = 0; index < 15; index++) {
      test.enter(0, `r${index}`, { targetAtMs: 4_000 - 300 * (index % 2) });
    }
    for (let turn = 0; turn < WAITING_LIMITS.lateTurnInterval; turn++) {
      test.engines.set("e0", 24_748 - 1_500);
      test.tick(0);
    }
    expect(listStarted(test).slice(0, 7)).to.have.members(
      Array.from({ length: 7 }, (_, index) => `r${2 * index + 1}`),
    );
    expect(listStarted(test).indexOf("past")).to.equal(WAITING_LIMITS.lateTurnInterval - 1);
  });

  it("refuses at once what cannot start in its time, with the time when there is room", () => {
    const tokensPerMs = 1.5;
    const test = createTestHosts({ hosts: 1, freeTokens: [0], tokensPerMs });
    const count = 20;
    for (let index = 0; index < count; index++) {
      test.enter(0, `r${index}`);
    }
    test.nowMs += TICK_MS;
    test.tick(0);
    // One starts each second: those after the eighth are past twice their target of 4 s.
    expect(test.refused.size).to.be.within(count - 9, count - 6);
    expect(test.refused.has("r0")).to.equal(false);
    const waiting = test.hosts[0]?.queue.count() ?? 0;
    const freeInMs = (waiting + 1) * 1_500 / tokensPerMs;
    const times = [...test.refused.values()];
    expect(Math.min(...times)).to.be.at.least(freeInMs - 1_500);
    expect(Math.max(...times)).to.be.at.most(freeInMs * 1.5 + 1_500);
    expect(new Set(times).size, "not all at the same time").to.be.above(times.length / 2);
  });

  it("refuses nothing by its place while the rate is unknown", () => {
    const test = createTestHosts({ hosts: 1, freeTokens: [0] });
    for (let index = 0; index < 20; index++) {
      test.enter(0, `r${index}`);
    }
    test.tick(0);
    expect(test.refused.size).to.equal(0);
  });
});
