import { expect } from "chai";
import { createHash } from "node:crypto";
import { request } from "undici";
import type { Dispatcher } from "undici";
import { createLocalFleet } from "./create_local_fleet.ts";
import type { LocalFleet } from "./create_local_fleet.ts";

const ANSWER_TOKENS = 40;
const STRANGER_KEY = "strangers-local-key";
const RESUME_PATHS: readonly (readonly ["GET" | "POST", string])[] = [
  ["GET", "/v1/streams/resume"],
  ["POST", "/v1/chat/completions"],
  ["POST", "/v1/completions"],
];

interface Received {
  readonly ids: string[];
  text: string;
  isDone: boolean;
}

/**
 * Reads a stream until it ends. After `limit` tokens it calls `handleLimit`, which by default drops
 * the connection.
 */
async function readStream(
  answer: Dispatcher.ResponseData,
  limit = Number.POSITIVE_INFINITY,
  handleLimit: () => unknown = () => answer.body.destroy(),
): Promise<Received> {
  let isLimitReached = false;
  const received: Received = { ids: [], text: "", isDone: false };
  try {
    for await (const chunk of answer.body) {
      received.text += chunk;
      if (!isLimitReached && [...received.text.matchAll(/^data: .*\n\n/gm)].length >= limit) {
        isLimitReached = true;
        await handleLimit();
      }
    }
  } catch {
    // The connection was dropped; what has arrived counts.
  }
  const whole = received.text.slice(0, received.text.lastIndexOf("\n\n") + 2);
  received.ids.push(...[...whole.matchAll(/^id: (.*)$/gm)].map((match) => match[1] ?? ""));
  received.isDone = whole.endsWith("data: [DONE]\n\n");
  return received;
}

const listIndexes = (ids: readonly string[]) => ids.map((id) => Number(id.split(":").at(-1)));
const ALL_INDEXES = Array.from({ length: ANSWER_TOKENS }, (_, index) => index);

describe("generations on a local fleet", () => {
  let fleet: LocalFleet;

  before(async () => {
    const sha256 = createHash("sha256").update(STRANGER_KEY).digest("hex");
    fleet = await createLocalFleet({
      hosts: 3,
      answerTokens: ANSWER_TOKENS,
      tokenMs: 10,
      values: {
        "teams/strangers/access": "models = plan-70b, other\nmax_streams = 1\n",
        "teams/strangers/keys": `[local]\nsha256 = ${sha256}\n`,
      },
    });
  });

  after(() => fleet.close());

  const getHeaders = (key = fleet.apiKey) => ({
    authorization: `Bearer ${key}`,
    "content-type": "application/json",
  });
  const startChat = (host: number, members: object = {}, key = fleet.apiKey) =>
    request(`${fleet.daemons[host]?.url}/v1/chat/completions`, {
      method: "POST",
      headers: getHeaders(key),
      body: JSON.stringify({
        model: "plan-70b",
        messages: [{ role: "user", content: "Plan the week" }],
        stream: true,
        ...members,
      }),
    });
  const resume = (
    host: number,
    id: string,
    [method, path] = RESUME_PATHS[0] ?? ["GET", ""],
    key = fleet.apiKey,
  ) =>
    request(`${fleet.daemons[host]?.url}${path}`, {
      method,
      headers: { ...getHeaders(key), "last-event-id": id },
      ...(method === "POST" ? { body: "{}" } : {}),
    });
  const countStarted = () =>
    fleet.engines.reduce((sum, engine) => sum + engine.listGenerations().length, 0);

  for (const [method, path] of RESUME_PATHS) {
    it(`gives exactly the rest at another host through ${method} ${path}`, async () => {
      const started = countStarted();
      const first = await readStream(await startChat(0), 7);
      const rest = await readStream(await resume(1, first.ids.at(-1) ?? "", [method, path]));
      expect(listIndexes([...first.ids, ...rest.ids])).to.deep.equal(ALL_INDEXES);
      expect(rest.isDone).to.equal(true);
      expect(countStarted()).to.equal(started + 1);
    });
  }

  it("moves a stream from host to host and back", async () => {
    const ids: string[] = [];
    for (const host of [0, 1, 2, 0, 1]) {
      const id = ids.at(-1);
      const answer = await (id === undefined ? startChat(host) : resume(host, id));
      ids.push(...(await readStream(answer, 6)).ids);
    }
    const rest = await readStream(await resume(2, ids.at(-1) ?? ""));
    expect(listIndexes([...ids, ...rest.ids])).to.deep.equal(ALL_INDEXES);
    expect(rest.isDone).to.equal(true);
  });

  it("ends the former connection when a caller resumes at the same host beside it", async () => {
    const answer = await startChat(0);
    const firstText = new Promise<string>((resolve) =>
      answer.body.once("data", (chunk) => resolve(String(chunk)))
    );
    const closed = new Promise<boolean>((resolve) => {
      answer.body.once("error", () => resolve(true));
      answer.body.once("end", () => resolve(false));
    });
    const id = /^id: (.*)$/m.exec(await firstText)?.[1] ?? "";
    const rest = await readStream(await resume(0, id));
    expect(listIndexes(rest.ids)).to.deep.equal(ALL_INDEXES.slice(1));
    expect(await closed).to.equal(true);
  });

  it("refuses a stream of another team clearly, and forged ids", async () => {
    const first = await readStream(await startChat(0), 3);
    const id = first.ids.at(-1) ?? "";
    const foreign = await resume(1, id, RESUME_PATHS[0], STRANGER_KEY);
    expect(await foreign.body.json()).to.include({ code: 2002, status: 403 });
    const forged = await resume(1, `x${id}`);
    expect(await forged.body.json()).to.include({ code: 2001, ran: "no" });
    expect((await readStream(await resume(1, id))).isDone).to.equal(true);
  });

  it("answers in one piece with usage counts", async () => {
    const answer = await startChat(0, { stream: false });
    const body = await answer.body.json() as {
      choices: { message: { content: string } }[];
      usage: Record<string, number>;
    };
    expect(body.choices[0]?.message.content.split(" ").length).to.equal(ANSWER_TOKENS + 1);
    expect(body.usage).to.deep.equal({
      prompt_tokens: 4,
      completion_tokens: ANSWER_TOKENS,
      total_tokens: ANSWER_TOKENS + 4,
    });
  });

  it("serves plain completions in one piece and as events", async () => {
    const send = (stream: boolean) =>
      request(`${fleet.daemons[0]?.url}/v1/completions`, {
        method: "POST",
        headers: getHeaders(),
        body: JSON.stringify({ model: "plan-70b", prompt: "Plan", max_tokens: 2, stream }),
      });
    const whole = await (await send(false)).body.json();
    expect(whole).to.deep.include({
      object: "text_completion",
      choices: [{ index: 0, text: "token0 token1 ", finish_reason: "stop" }],
    });
    const events = await readStream(await send(true));
    expect(listIndexes(events.ids)).to.deep.equal([0, 1]);
    expect(events.isDone).to.equal(true);
  });

  it("lists the published models that a team may use", async () => {
    const list = async (key: string) => {
      const answer = await request(`${fleet.daemons[0]?.url}/v1/models`, {
        headers: getHeaders(key),
      });
      const { data } = await answer.body.json() as { data: { id: string }[] };
      return data.map((model) => model.id);
    };
    expect(await list(STRANGER_KEY)).to.deep.equal(["plan-70b"]);
    const unknown = await request(`${fleet.daemons[0]?.url}/v1/models`);
    expect(unknown.statusCode).to.equal(401);
    await unknown.body.dump();
  });

  it("refuses a team's stream above its limit as not run, and runs nothing", async () => {
    const first = await startChat(0, {}, STRANGER_KEY);
    const started = countStarted();
    const second = await startChat(0, {}, STRANGER_KEY);
    expect(await second.body.json()).to.include({ code: 2007, ran: "no", status: 429 });
    expect(second.headers["retry-after"]).to.equal("1");
    expect(countStarted()).to.equal(started);
    expect((await readStream(first)).isDone).to.equal(true);
  });

  it("gives exactly the rest after the entry daemon has died", async () => {
    const started = countStarted();
    const first = await readStream(await startChat(2), 3, () => fleet.stopDaemon(2));
    expect(first.isDone).to.equal(false);
    expect(first.ids.length).to.be.greaterThan(0);
    const rest = await readStream(await resume(1, first.ids.at(-1) ?? ""));
    expect(listIndexes([...first.ids, ...rest.ids])).to.deep.equal(ALL_INDEXES);
    expect(rest.isDone).to.equal(true);
    expect(countStarted()).to.equal(started + 1);
  });
});
