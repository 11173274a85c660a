import { expect } from "chai";
import { acceptNotice } from "./accept_notice.ts";
import { MEMBERSHIP_LIMITS } from "./constants.ts";
import type { NoticeState } from "./notice_state.ts";
import { selectNotices } from "./select_notices.ts";

const makeState = (): NoticeState => ({ pending: new Map(), known: new Map() });
const makeReceivedNotice = (key: string, nowMs: number, bytes = 100) => ({
  notice: { topic: "t", key, origin: "a", payload: key, ttlMs: 1_000 },
  bytes,
  sendCount: 2,
  nowMs,
});

describe("notices", () => {
  it("are accepted once, even if a copy arrives after they expired", () => {
    const state = makeState();
    expect(acceptNotice(state, makeReceivedNotice("k", 0))).to.equal(true);
    expect(acceptNotice(state, makeReceivedNotice("k", 10))).to.equal(false);
    expect(acceptNotice(state, makeReceivedNotice("k", 5_000))).to.equal(false);
  });

  it("are refused when too large", () => {
    const arrival = makeReceivedNotice("k", 0, MEMBERSHIP_LIMITS.maxNoticeBytes + 1);
    expect(acceptNotice(makeState(), arrival)).to.equal(false);
  });

  it("are forwarded a limited number of times, with their remaining lifetime", () => {
    const state = makeState();
    acceptNotice(state, makeReceivedNotice("k", 0));
    expect(selectNotices(state, 400).map((notice) => notice.ttlMs)).to.deep.equal([600]);
    expect(selectNotices(state, 500)).to.have.length(1);
    expect(selectNotices(state, 600)).to.have.length(0);
  });

  it("are not forwarded after they expired", () => {
    const state = makeState();
    acceptNotice(state, makeReceivedNotice("k", 0));
    expect(selectNotices(state, 1_000)).to.have.length(0);
  });

  it("are dropped, oldest first, when the limit is reached", () => {
    const state = makeState();
    for (let index = 0; index <= MEMBERSHIP_LIMITS.maxPendingNotices; index++) {
      acceptNotice(state, makeReceivedNotice(`k${index}`, 0));
    }
    expect(state.pending.size).to.equal(MEMBERSHIP_LIMITS.maxPendingNotices);
    expect([...state.pending.values()].some(({ notice }) => notice.key === "k0")).to.equal(false);
  });

  it("are limited to the notice bytes of one heartbeat", () => {
    const state = makeState();
    for (let index = 0; index < 10; index++) {
      acceptNotice(state, makeReceivedNotice(`k${index}`, 0, 1_000));
    }
    expect(selectNotices(state, 1)).to.have.length(1);
  });
});
