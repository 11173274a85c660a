import { expect } from "chai";
import { createSystemClock } from "../adapters/create_system_clock.ts";
import { createByteBudget } from "../common/create_byte_budget.ts";
import type { Handover } from "../handover/mod.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import { offerRequest } from "./offer_request.ts";

const MAX_ANSWER_BYTES = 16 * 1_048_576;
const PIECE = Buffer.alloc(65_536, "x");

describe("requests that are handed to a host whose responses do not end", () => {
  for (const count of [1, 40]) {
    it(`are refused within the bytes that a host buffers: ${count} at once`, async () => {
      const answerBudget = createByteBudget(MAX_ANSWER_BYTES);
      let mostBytes = 0;
      let refusals = 0;
      const open: Handover["open"] = (_host, _request, handler) => {
        const send = () => {
          handler.receiveData(PIECE);
          mostBytes = Math.max(mostBytes, answerBudget.usedBytes);
        };
        setImmediate(() => handler.receiveHead(500, "Failed", [], undefined));
        const timer = setInterval(send, 1);
        return { abort: () => clearInterval(timer), hasSent: () => true };
      };
      const clock = createSystemClock();
      const context = {
        clock,
        answerBudget,
        logger: { writeEvent: () => {} },
        metrics: { increment: () => {} },
        handover: { open, chooseHost: () => ({ host: "host-2", peerAddress: "127.0.1.2:1" }) },
      } as unknown as ForwardingContext;
      const request = {
        requestId: "r1",
        service: { name: "desk" },
        route: { kind: "unrepeatable" },
        deadlineAtMs: clock.readMonotonicMs() + 10_000,
        arrivedAtMs: clock.readMonotonicMs(),
        reply: {
          hasEnded: () => false,
          hasStarted: () => false,
          refuse: () => refusals++,
        },
      } as unknown as ForwardedRequest;
      const offer = () =>
        offerRequest(context, request, { isCounted: false, receiveExchange: () => {} });
      const ends = await Promise.all(Array.from({ length: count }, offer));
      expect(new Set(ends)).to.deep.equal(new Set(["unknown"]));
      expect(refusals).to.equal(count);
      expect(mostBytes).to.be.within(PIECE.length, MAX_ANSWER_BYTES);
      expect(answerBudget.usedBytes).to.equal(0);
    }).timeout(5_000);
  }
});
