import { createResultError } from "@crocussail/protocol";
import type { ExecutionState } from "@crocussail/protocol";
import { expect } from "chai";
import type { TeamSettings } from "../settings/mod.ts";
import { GENERATION_DEFAULTS } from "./generation_defaults.ts";
import { serveGeneration } from "./serve_generation.ts";
import { advanceUntilSettled } from "./testing/advance_until_settled.ts";
import { createRecordingWriter } from "./testing/create_recording_writer.ts";
import { createScriptedEngine } from "./testing/create_scripted_engine.ts";
import type { ConnectionScript } from "./testing/create_scripted_engine.ts";
import { createTestServices } from "./testing/create_test_services.ts";
import { makeEvents } from "./testing/make_events.ts";

const TOKEN_COUNT = 3;
const COMPLETE_ANSWER = ["0:t0", "1:t1", "2:t2", "finish 3 stop"];
const UPSTREAMS = ["plan-1", "plan-2", "plan-3", "plan-4"];
const FINGERPRINT = "0".repeat(32);

const serve: ConnectionScript = (generation, from) => ({
  events: makeEvents(generation, from, TOKEN_COUNT),
  then: "stall",
});
const serveFirstToken: ConnectionScript = (generation) => ({
  events: makeEvents(generation, 0, TOKEN_COUNT).slice(0, 1),
  then: "cut",
});
const cutBeforeFirstToken: ConnectionScript = () => ({ events: [], then: "cut" });
const refuse: ConnectionScript = () => createResultError("upstreamRefused", "leaving");
const resetConnection: ConnectionScript = () =>
  createResultError("upstreamLost", "reset", { ran: "unknown" });
const forgetGeneration: ConnectionScript = () => createResultError("generationUnknown", "404");

interface Setup {
  readonly scripts: readonly ConnectionScript[];
  readonly upstreams?: readonly string[];
  readonly retryTokens?: number;
  readonly deadlineMs?: number;
}

function startRequest(setup: Setup) {
  const engine = createScriptedEngine(setup.scripts);
  const writer = createRecordingWriter();
  const test = createTestServices({ engine, upstreams: UPSTREAMS, ...setup });
  const end = serveGeneration(test.services, {
    requestId: "r1",
    team: { name: "planners", kinds: {} } as TeamSettings,
    kind: "plan",
    request: { api: "chat", model: "plan-70b", prompt: "Plan", promptTokens: 1, isStream: true },
    target: { model: "plan-70b" },
    writer,
    fingerprint: FINGERPRINT,
    deadlineMs: setup.deadlineMs ?? 60_000,
  });
  return { ...test, engine, writer, end };
}

describe("serveGeneration", () => {
  const cases: readonly (Setup & {
    title: string;
    received: readonly string[];
    ran?: ExecutionState;
    calls: readonly string[];
    releases: readonly string[];
  })[] = [
    {
      title: "places a request once when nothing fails",
      scripts: [serve],
      received: COMPLETE_ANSWER,
      calls: ["start plan-1"],
      releases: ["plan-1 finished"],
    },
    {
      title: "places again without a cancel when a draining engine refused the request",
      scripts: [refuse, serve],
      received: COMPLETE_ANSWER,
      calls: ["start plan-1", "start plan-2"],
      releases: ["plan-1 notRun", "plan-2 finished"],
    },
    {
      title: "cancels a start of unknown outcome before it places the request again",
      scripts: [resetConnection, serve],
      received: COMPLETE_ANSWER,
      calls: ["start plan-1", "cancel plan-1", "start plan-2"],
      releases: ["plan-1 lost", "plan-2 finished"],
    },
    {
      title: "places again when the engine lost the generation before the first token",
      scripts: [cutBeforeFirstToken, forgetGeneration, serve],
      received: COMPLETE_ANSWER,
      calls: ["start plan-1", "resume 0", "start plan-2"],
      releases: ["plan-1 lost", "plan-2 finished"],
    },
    {
      title: "does not place again after the first token",
      scripts: [serveFirstToken, forgetGeneration, serve],
      received: ["0:t0", "error generationUnknown"],
      ran: "yes",
      calls: ["start plan-1", "resume 1"],
      releases: ["plan-1 lost"],
    },
    {
      title: "reports that the request was not executed when every engine refused",
      scripts: [refuse],
      received: ["error upstreamRefused"],
      ran: "no",
      calls: ["start plan-1", "start plan-2", "start plan-3"],
      releases: ["plan-1 notRun", "plan-2 notRun", "plan-3 notRun"],
    },
    {
      title: "reports unknown execution when no engine is left after a start of unknown outcome",
      scripts: [resetConnection, refuse],
      upstreams: ["plan-1", "plan-2"],
      received: ["error noUpstream"],
      ran: "unknown",
      calls: ["start plan-1", "cancel plan-1", "start plan-2"],
      releases: ["plan-1 lost", "plan-2 notRun"],
    },
    {
      title:
        "reports that the request was executed when no engine is left after one that executed it",
      scripts: [cutBeforeFirstToken, forgetGeneration, refuse],
      upstreams: ["plan-1", "plan-2"],
      received: ["error noUpstream"],
      ran: "yes",
      calls: ["start plan-1", "resume 0", "start plan-2"],
      releases: ["plan-1 lost", "plan-2 notRun"],
    },
    {
      title: "does not place again when the retry budget is empty",
      scripts: [resetConnection, serve],
      retryTokens: 0,
      received: ["error upstreamLost"],
      ran: "unknown",
      calls: ["start plan-1", "cancel plan-1"],
      releases: ["plan-1 lost"],
    },
    {
      title: "starts no generation after the deadline",
      scripts: [serve],
      deadlineMs: 0,
      received: ["error timeout"],
      ran: "no",
      calls: [],
      releases: ["plan-1 notRun"],
    },
    {
      title: "quarantines a request after two upstreams lost its generation",
      scripts: [
        cutBeforeFirstToken,
        forgetGeneration,
        cutBeforeFirstToken,
        forgetGeneration,
        serve,
      ],
      received: ["error requestQuarantined"],
      ran: "yes",
      calls: ["start plan-1", "resume 0", "start plan-2", "resume 0"],
      releases: ["plan-1 lost", "plan-2 lost"],
    },
  ];
  for (const { title, received, ran, calls, releases, ...setup } of cases) {
    it(title, async () => {
      const test = startRequest(setup);
      await advanceUntilSettled(test.clock, test.end);
      expect(test.writer.received).to.deep.equal(received);
      expect(test.writer.errors.map((error) => error.ran)).to.deep.equal(ran ? [ran] : []);
      expect(test.engine.calls).to.deep.equal(calls);
      expect(test.releases).to.deep.equal(releases);
    });
  }

  it("reports the number of delivered tokens in the error", async () => {
    const test = startRequest({ scripts: [serveFirstToken, forgetGeneration] });
    await advanceUntilSettled(test.clock, test.end);
    expect(test.writer.errors[0]?.members).to.deep.equal({ tokens: 1 });
  });

  it("delivers tokens of only one generation when two were started", async () => {
    const test = startRequest({ scripts: [cutBeforeFirstToken, forgetGeneration, serve] });
    await advanceUntilSettled(test.clock, test.end);
    expect(new Set(test.writer.sources).size).to.equal(2);
    expect(test.writer.received).to.deep.equal(COMPLETE_ANSWER);
  });
});

describe("serveGeneration after the caller disconnects", () => {
  const hang: ConnectionScript = (generation) => ({
    events: makeEvents(generation, 0, TOKEN_COUNT).slice(0, 1),
    then: "stall",
  });
  const stallBeforeFirstToken: ConnectionScript = () => ({ events: [], then: "stall" });
  const startAndDisconnect = async (script: ConnectionScript) => {
    const test = startRequest({ scripts: [script, serve] });
    await new Promise((resolve) => setImmediate(resolve));
    test.writer.dropCaller();
    await test.end;
    return test;
  };

  it("cancels at once when no token was delivered", async () => {
    const test = await startAndDisconnect(stallBeforeFirstToken);
    expect(test.engine.calls).to.deep.equal(["start plan-1", "cancel plan-1"]);
    expect(test.releases).to.deep.equal(["plan-1 cancelled"]);
  });

  it("cancels after the grace period when no caller resumes", async () => {
    const test = await startAndDisconnect(hang);
    test.clock.advance(GENERATION_DEFAULTS.resumeGraceMs - 1);
    expect(test.releases).to.deep.equal([]);
    test.clock.advance(1);
    expect(test.engine.calls).to.deep.equal(["start plan-1", "cancel plan-1"]);
    expect(test.releases).to.deep.equal(["plan-1 cancelled"]);
  });

  it("does not cancel a generation resumed on another host and keeps its grant until it ends", async () => {
    const test = await startAndDisconnect(hang);
    const [generation = ""] = test.writer.sources;
    test.services.runs.moveRun(generation, "planners", "host-2");
    test.clock.advance(GENERATION_DEFAULTS.resumeGraceMs * 2);
    expect(test.engine.calls).to.deep.equal(["start plan-1"]);
    expect(test.releases).to.deep.equal([]);
    test.services.runs.finishMovedRun(generation, "planners", "finished", TOKEN_COUNT);
    expect(test.releases).to.deep.equal(["plan-1 finished"]);
  });

  it("does not move a run of another team", async () => {
    const test = await startAndDisconnect(hang);
    const [generation = ""] = test.writer.sources;
    test.services.runs.moveRun(generation, "strangers", "host-2");
    test.clock.advance(GENERATION_DEFAULTS.resumeGraceMs);
    expect(test.releases).to.deep.equal(["plan-1 cancelled"]);
  });
});
