import { expect } from "chai";
import { request } from "undici";
import { createLocalFleet } from "./create_local_fleet.ts";
import type { LocalFleet } from "./create_local_fleet.ts";

describe("local fleet", () => {
  let fleet: LocalFleet;

  before(async () => {
    fleet = await createLocalFleet({ hosts: 3 });
  });

  after(() => fleet.close());

  const sendOrder = (url: string, headers: Record<string, string>, body: unknown) =>
    request(`${url}/v1/services/stock/bookings`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${fleet.apiKey}`,
        "content-type": "application/json",
        ...headers,
      },
      body: JSON.stringify(body),
    });

  it("streams every token of a response in order and exactly once", async () => {
    const answer = await request(`${fleet.daemons[0]?.url}/v1/chat/completions`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${fleet.apiKey}`,
        "content-type": "application/json",
      },
      body: JSON.stringify({
        model: "plan-70b",
        messages: [{ role: "user", content: "Plan" }],
        stream: true,
      }),
    });
    const text = await answer.body.text();
    const indexes = [...text.matchAll(/^id: .*:(\d+)$/gm)].map((match) => Number(match[1]));
    expect(answer.statusCode).to.equal(200);
    expect(indexes).to.deep.equal(Array.from({ length: 12 }, (_, index) => index));
    expect(text).to.match(/data: \[DONE\]\n\n$/);
  });

  it("refuses a non-repeatable request without an idempotency key; executes nothing", async () => {
    const answer = await sendOrder(fleet.daemons[0]?.url ?? "", {}, { order: "no-key" });
    const problem = await answer.body.json() as { ran: string; key_prefix: string };
    expect(answer.statusCode).to.equal(428);
    expect(problem.ran).to.equal("no");
    expect(problem.key_prefix).to.match(/^ck1\./);
    expect(fleet.service.getExecutionCounts().has("no-key")).to.equal(false);
  });

  it("executes an order once when it is sent to two hosts", async () => {
    const entry = await request(`${fleet.daemons[0]?.url}/v1/entry`);
    const { key_prefix: prefix } = await entry.body.json() as { key_prefix: string };
    const headers = { "idempotency-key": `${prefix}booking-1` };
    const body = { order: "booking-1" };
    const first = await sendOrder(fleet.daemons[1]?.url ?? "", headers, body);
    const second = await sendOrder(fleet.daemons[2]?.url ?? "", headers, body);
    expect(first.statusCode).to.equal(201);
    expect(await second.body.text()).to.equal(await first.body.text());
    expect(fleet.service.getExecutionCounts().get("booking-1")).to.equal(1);
  });
});
