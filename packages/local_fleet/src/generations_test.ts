import { expect } from "chai";
import { createHash } from "node:crypto";
import { request } from "undici";
import type { Dispatcher } from "undici";
import { createLocalFleet } from "./create_local_fleet.ts";
import type { LocalFleet } from "./create_local_fleet.ts";

const ANSWER_TOKENS = 40;
const SECOND_TEAM_KEY = "second-team-local-key";
const RESUME_PATHS: readonly (readonly ["GET" | "POST", string])[] = [
  ["GET", "/v1/streams/resume"],
  ["POST", "/v1/chat/completions"],
  ["POST", "/v1/completions"],
];

interface ReceivedStream {
  readonly ids: string[];
  text: string;
  isDone: boolean;
}

/**
 * Reads a stream until it ends. After `limit` tokens it calls `handleLimit`, which by default
 * closes the connection.
 */
async function readStream(
  answer: Dispatcher.ResponseData,
  limit = Number.POSITIVE_INFINITY,
  handleLimit: () => unknown = () => answer.body.destroy(),
): Promise<ReceivedStream> {
  let isLimitReached = false;
  const received: ReceivedStream = { ids: [], text: "", isDone: false };
  try {
    for await (const chunk of answer.body) {
      received.text += chunk;
      if (!isLimitReached && [...received.text.matchAll(/^data: .*\n\n/gm)].length >= limit) {
        isLimitReached = true;
        await handleLimit();
      }
    }
  } catch {
    // The connection was closed; the text received so far is returned.
  }
  const completeEvents = received.text.slice(0, received.text.lastIndexOf("\n\n") + 2);
  received.ids.push(...[...completeEvents.matchAll(/^id: (.*)$/gm)].map((match) => match[1] ?? ""));
  received.isDone = completeEvents.endsWith("data: [DONE]\n\n");
  return received;
}

const listIndexes = (ids: readonly string[]) => ids.map((id) => Number(id.split(":").at(-1)));
const ALL_INDEXES = Array.from({ length: ANSWER_TOKENS }, (_, index) => index);

describe("generations on a local fleet", () => {
  let fleet: LocalFleet;

  before(async () => {
    const sha256 = createHash("sha256").update(SECOND_TEAM_KEY).digest("hex");
    fleet = await createLocalFleet({
      hosts: 3,
      answerTokens: ANSWER_TOKENS,
      tokenMs: 10,
      values: {
        "teams/second/access": "models = plan-70b, other\nmax_streams = 1\n",
        "teams/second/keys": `[local]\nsha256 = ${sha256}\n`,
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
  const countGenerations = () =>
    fleet.engines.reduce((sum, engine) => sum + engine.listGenerations().length, 0);

  for (const [method, path] of RESUME_PATHS) {
    it(`resumes on another host with the remaining tokens by ${method} ${path}`, async () => {
      const countBefore = countGenerations();
      const first = await readStream(await startChat(0), 7);
      const remaining = await readStream(await resume(1, first.ids.at(-1) ?? "", [method, path]));
      expect(listIndexes([...first.ids, ...remaining.ids])).to.deep.equal(ALL_INDEXES);
      expect(remaining.isDone).to.equal(true);
      expect(countGenerations()).to.equal(countBefore + 1);
    });
  }

  it("resumes a stream on a different host after each disconnect", async () => {
    const ids: string[] = [];
    for (const host of [0, 1, 2, 0, 1]) {
      const id = ids.at(-1);
      const answer = await (id === undefined ? startChat(host) : resume(host, id));
      ids.push(...(await readStream(answer, 6)).ids);
    }
    const remaining = await readStream(await resume(2, ids.at(-1) ?? ""));
    expect(listIndexes([...ids, ...remaining.ids])).to.deep.equal(ALL_INDEXES);
    expect(remaining.isDone).to.equal(true);
  });

  it("closes the earlier connection when the caller resumes on the same host", async () => {
    const answer = await startChat(0);
    const firstText = new Promise<string>((resolve) =>
      answer.body.once("data", (chunk) => resolve(String(chunk)))
    );
    const isAborted = new Promise<boolean>((resolve) => {
      answer.body.once("error", () => resolve(true));
      answer.body.once("end", () => resolve(false));
    });
    const id = /^id: (.*)$/m.exec(await firstText)?.[1] ?? "";
    const remaining = await readStream(await resume(0, id));
    expect(listIndexes(remaining.ids)).to.deep.equal(ALL_INDEXES.slice(1));
    expect(await isAborted).to.equal(true);
  });

  it("refuses to resume a stream of another team or from a forged id", async () => {
    const first = await readStream(await startChat(0), 3);
    const id = first.ids.at(-1) ?? "";
    const foreign = await resume(1, id, RESUME_PATHS[0], SECOND_TEAM_KEY);
    expect(await foreign.body.json()).to.include({ code: 2002, status: 403 });
    const forged = await resume(1, `x${id}`);
    expect(await forged.body.json()).to.include({ code: 2001, ran: "no" });
    expect((await readStream(await resume(1, id))).isDone).to.equal(true);
  });

  it("sends a non-streaming response with usage counts", async () => {
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

  it("serves text completions as a non-streaming response and as events", async () => {
    const send = (stream: boolean) =>
      request(`${fleet.daemons[0]?.url}/v1/completions`, {
        method: "POST",
        headers: getHeaders(),
        body: JSON.stringify({ model: "plan-70b", prompt: "Plan", max_tokens: 2, stream }),
      });
    const response = await (await send(false)).body.json();
    expect(response).to.deep.include({
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
    expect(await list(SECOND_TEAM_KEY)).to.deep.equal(["plan-70b"]);
    const unknown = await request(`${fleet.daemons[0]?.url}/v1/models`);
    expect(unknown.statusCode).to.equal(401);
    await unknown.body.dump();
  });

  it("refuses a stream above the team's limit as not executed", async () => {
    const first = await startChat(0, {}, SECOND_TEAM_KEY);
    const countBefore = countGenerations();
    const second = await startChat(0, {}, SECOND_TEAM_KEY);
    expect(await second.body.json()).to.include({ code: 2007, ran: "no", status: 429 });
    expect(second.headers["retry-after"]).to.equal("1");
    expect(countGenerations()).to.equal(countBefore);
    expect((await readStream(first)).isDone).to.equal(true);
  });

  it("resumes with exactly the remaining tokens after the entry daemon crashed", async () => {
    const countBefore = countGenerations();
    const first = await readStream(await startChat(2), 3, () => fleet.stopDaemon(2));
    expect(first.isDone).to.equal(false);
    expect(first.ids.length).to.be.greaterThan(0);
    const remaining = await readStream(await resume(1, first.ids.at(-1) ?? ""));
    expect(listIndexes([...first.ids, ...remaining.ids])).to.deep.equal(ALL_INDEXES);
    expect(remaining.isDone).to.equal(true);
    expect(countGenerations()).to.equal(countBefore + 1);
  });
});
