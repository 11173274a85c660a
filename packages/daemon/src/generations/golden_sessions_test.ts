import { createResultError, modelSchema, teamAccessSchema } from "@crocussail/protocol";
import { expect } from "chai";
import type { FastifyInstance } from "fastify";
import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { createCallerServer } from "../http/mod.ts";
import type { SettingsView } from "../settings/mod.ts";
import { createGenerations } from "./create_generations.ts";
import { createScriptedEngine } from "./testing/create_scripted_engine.ts";
import type { ConnectionScript } from "./testing/create_scripted_engine.ts";
import { createTestServices } from "./testing/create_test_services.ts";
import { makeEvents } from "./testing/make_events.ts";

const GOLDEN_DIRECTORY = "packages/daemon/src/generations/golden";
/** If set to 1, the test rewrites the golden files; review the diff before committing it. */
const WRITE_VARIABLE = "CROCUSSAIL_WRITE_GOLDEN";
const TOKEN_COUNT = 4;
const MAX_BODY_BYTES = 10_000;
const RECORDED_HEADERS = ["content-type", "retry-after", "x-request-id"];

const serve: ConnectionScript = (generation, from) => ({
  events: makeEvents(generation, from, TOKEN_COUNT),
  then: "stall",
});
const serveTwoTokens: ConnectionScript = (generation) => ({
  events: makeEvents(generation, 0, TOKEN_COUNT).slice(0, 2),
  then: "cut",
});
const forgetGeneration: ConnectionScript = () =>
  createResultError("generationUnknown", "status 404");
const refuse: ConnectionScript = () => createResultError("upstreamRefused", "status 503");

const TEAMS = new Map(
  ["planners", "strangers"].map((name) => [name, {
    name,
    access: teamAccessSchema.parse({
      models: name === "planners" ? "plan-70b" : "",
      maxStreams: "1",
    }),
    kinds: {},
    services: {},
  }]),
);
const settings = {
  findTeamByKeyHash: (sha256: string) => sha256.startsWith("0") ? undefined : currentTeam,
  getTeam: (name: string) => TEAMS.get(name),
  getUpstreams: () => new Map([["plan-1", { url: "plan-1" }]]),
  getModels: () => new Map([["plan-70b", modelSchema.parse({ version: "1" })]]),
  getFleetLimits: () => ({ retryBudgetRatio: 0.1 }),
} as unknown as SettingsView;
let currentTeam = "planners";

interface Exchange {
  readonly method?: "GET" | "POST";
  readonly path?: string;
  readonly team?: string;
  readonly lastEventId?: string;
  readonly body?: unknown;
}

function createServer(scripts: readonly ConnectionScript[]): FastifyInstance {
  const { services } = createTestServices({
    engine: createScriptedEngine(scripts),
    upstreams: ["plan-1", "plan-2"],
  });
  let requests = 0;
  const server = createCallerServer(
    {
      logger: { writeEvent: () => {} },
      metrics: services.context.metrics,
      clock: services.context.clock,
      journal: services.context.journal,
      readMaxBodyBytes: () => MAX_BODY_BYTES,
      createRequestId: () => `request-${++requests}`,
    } as Parameters<typeof createCallerServer>[0],
  );
  const membership = { publishNotice: () => {}, subscribeNotices: () => {} };
  createGenerations({ ...services, settings, membership }).registerRoutes(server);
  return server;
}

async function runExchange(server: FastifyInstance, exchange: Exchange): Promise<string> {
  const { method = "POST", path = "/v1/chat/completions", lastEventId } = exchange;
  currentTeam = exchange.team ?? "planners";
  const payload = method === "POST" ? JSON.stringify(exchange.body ?? {}) : undefined;
  const answer = await server.inject({
    method,
    url: path,
    headers: {
      authorization: "Bearer a-key",
      ...(payload === undefined ? {} : { "content-type": "application/json" }),
      ...(lastEventId === undefined ? {} : { "last-event-id": lastEventId }),
    },
    ...(payload === undefined ? {} : { payload }),
  });
  const headers = RECORDED_HEADERS
    .filter((name) => answer.headers[name] !== undefined)
    .map((name) => `< ${name}: ${answer.headers[name]}`);
  return [
    `> ${method} ${path} (team ${currentTeam})`,
    ...(lastEventId === undefined ? [] : [`> last-event-id: ${lastEventId}`]),
    ...(payload === undefined ? [] : [`> ${payload}`]),
    `< ${answer.statusCode}`,
    ...headers,
    answer.payload,
    "",
  ].join("\n");
}

const chat = (members: object = {}) => ({
  model: "plan-70b",
  messages: [{ role: "user", content: "Move the empty boxes" }],
  ...members,
});

describe("golden sessions", () => {
  const sessions: readonly {
    name: string;
    scripts: readonly ConnectionScript[];
    exchanges: readonly Exchange[];
    /** Whether the last stream is resumed on another server after the exchanges. */
    resumesOnOtherServer?: boolean;
  }[] = [
    { name: "stream", scripts: [serve], exchanges: [{ body: chat({ stream: true }) }] },
    { name: "answer_in_one_piece", scripts: [serve], exchanges: [{ body: chat() }] },
    {
      name: "completion",
      scripts: [serve],
      exchanges: [
        { path: "/v1/completions", body: { model: "plan-70b", prompt: "Plan" } },
        { path: "/v1/completions", body: { model: "plan-70b", prompt: "Plan", stream: true } },
      ],
    },
    {
      name: "lost_after_two_tokens",
      scripts: [serveTwoTokens, forgetGeneration],
      exchanges: [{ body: chat({ stream: true }) }],
    },
    {
      name: "resume_at_another_host",
      scripts: [serveTwoTokens, forgetGeneration],
      exchanges: [{ body: chat({ stream: true }) }],
      resumesOnOtherServer: true,
    },
    {
      name: "refusals",
      scripts: [refuse],
      exchanges: [
        { body: chat({ stream: true }) },
        { team: "strangers", body: chat() },
        { body: { model: "plan-70b", messages: [] } },
        { method: "GET", path: "/v1/streams/resume", lastEventId: "forged.token:3" },
        { method: "GET", path: "/v1/models" },
      ],
    },
  ];
  for (const { name, scripts, exchanges, resumesOnOtherServer = false } of sessions) {
    it(`matches ${name}.txt`, async () => {
      const server = createServer(scripts);
      const lines: string[] = [];
      for (const exchange of exchanges) {
        lines.push(await runExchange(server, exchange));
      }
      const lastEventId = [...lines.join("").matchAll(/^id: (.*)$/gm)].at(-1)?.[1];
      if (resumesOnOtherServer && lastEventId !== undefined) {
        const path = "/v1/streams/resume";
        const otherServer = createServer([serve]);
        lines.push(await runExchange(otherServer, { method: "GET", path, lastEventId }));
        lines.push(
          await runExchange(otherServer, { method: "GET", path, lastEventId, team: "strangers" }),
        );
      }
      const session = lines.join("\n");
      const file = `${GOLDEN_DIRECTORY}/${name}.txt`;
      if (process.env[WRITE_VARIABLE] === "1") {
        writeFileSync(file, session);
      }
      expect(session).to.equal(readFileSync(file, "utf8"));
    });
  }
});
