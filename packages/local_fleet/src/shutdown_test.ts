import { expect } from "chai";
import { Agent, request } from "undici";
import { createLocalFleet } from "./create_local_fleet.ts";
import type { LocalFleet } from "./create_local_fleet.ts";

const ENTRY_TTL_MS = 400;
const ANSWER_TOKENS = 150;

describe("graceful shutdown of a daemon", function () {
  this.timeout(30_000);
  let fleet: LocalFleet;

  beforeEach(async () => {
    fleet = await createLocalFleet({
      hosts: 4,
      tokenMs: 20,
      answerTokens: ANSWER_TOKENS,
      values: { "fleet/limits": `entry_ttl_ms = ${ENTRY_TTL_MS}\n` },
    });
  });

  afterEach(() => fleet.close());

  const getUrl = (index: number) => fleet.daemons[index]?.url ?? "";
  const headers = () => ({
    authorization: `Bearer ${fleet.apiKey}`,
    "content-type": "application/json",
  });
  const startStream = (index: number) =>
    request(`${getUrl(index)}/v1/chat/completions`, {
      method: "POST",
      headers: headers(),
      body: JSON.stringify({
        model: "plan-70b",
        messages: [{ role: "user", content: "Plan" }],
        stream: true,
      }),
    });
  const sendOrder = (index: number, key: string, order: string) =>
    request(`${getUrl(index)}/v1/services/stock/bookings`, {
      method: "POST",
      headers: { ...headers(), "idempotency-key": key },
      body: JSON.stringify({ order }),
    });
  const fetchEntry = async (index: number) => {
    const answer = await request(`${getUrl(index)}/v1/entry`);
    return await answer.body.json() as {
      key_prefix: string;
      addresses: { host: string; weight: number }[];
    };
  };
  const fetchEntryHosts = async (index: number) =>
    (await fetchEntry(index)).addresses.map(({ host }) => host);
  const fetchShutdownState = async (index: number) => {
    const answer = await request(
      `http://127.0.0.1:${fleet.daemons[index]?.ports.operator}/state`,
      { headers: { authorization: `Bearer ${fleet.operatorToken}` } },
    );
    return (await answer.body.json() as {
      slices: { shutdown: { phase: string; requests: number } };
    })
      .slices.shutdown;
  };
  const waitUntil = async (isDone: () => Promise<boolean>) => {
    while (!await isDone()) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  };

  it("interrupts no stream or order, and serves callers with a cached entry response", async () => {
    await waitUntil(async () => (await fetchEntryHosts(3)).length === 4);
    const { key_prefix: prefix } = await fetchEntry(3);
    const stream = await startStream(3);
    const ended = fleet.daemons[3]?.daemon.shutdown();
    const repeated = fleet.daemons[3]?.daemon.shutdown();
    expect(await fetchEntryHosts(3)).to.not.include("host-4");
    expect(await fetchShutdownState(3)).to.include({ phase: "announced", requests: 1 });

    const late = await startStream(3);
    const order = await sendOrder(3, `${prefix}late`, "late-order");
    expect(order.statusCode).to.equal(201);
    await waitUntil(async () => !(await fetchEntryHosts(0)).includes("host-4"));

    const texts = await Promise.all([stream, late].map((answer) => answer.body.text()));
    for (const text of texts) {
      const indexes = [...text.matchAll(/^id: .*:(\d+)$/gm)].map((match) => Number(match[1]));
      expect(indexes).to.deep.equal(Array.from({ length: ANSWER_TOKENS }, (_, index) => index));
      expect(text).to.match(/data: \[DONE\]\n\n$/);
    }
    await Promise.all([ended, repeated]);
    expect(fleet.service.getExecutionCounts().get("late-order")).to.equal(1);
    const dispatcher = new Agent();
    const refused = await request(`${getUrl(3)}/v1/entry`, { dispatcher }).catch((error) => error);
    expect(refused).to.have.property("code", "ECONNREFUSED");
    expect(await fetchEntryHosts(0)).to.not.include("host-4");
  });

  it("lists a new process with the same host name in entry responses", async () => {
    await fleet.daemons[3]?.daemon.shutdown();
    await fleet.replaceDaemon(3);
    await waitUntil(async () => (await fetchEntryHosts(0)).includes("host-4"));
    const answer = await (await startStream(3)).body.text();
    expect(answer).to.match(/data: \[DONE\]\n\n$/);
  });
});
