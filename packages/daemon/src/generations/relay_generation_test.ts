import { createResultError } from "@crocussail/protocol";
import { expect } from "chai";
import type { EngineEvent } from "../adapters/engine_event_schema.ts";
import { createManualClock } from "../common/create_manual_clock.ts";
import { GENERATION_DEFAULTS } from "./generation_defaults.ts";
import { relayGeneration } from "./relay_generation.ts";
import { advanceUntilSettled } from "./testing/advance_until_settled.ts";
import { createRecordingWriter } from "./testing/create_recording_writer.ts";
import { createScriptedEngine } from "./testing/create_scripted_engine.ts";
import type { ConnectionScript } from "./testing/create_scripted_engine.ts";
import { makeEvents } from "./testing/make_events.ts";

const TOKEN_COUNT = 6;
const ALL_TOKENS = Array.from({ length: TOKEN_COUNT }, (_, index) => `${index}:t${index}`);
const GENERATION = "g1";
const DEADLINE_MS = 600_000;

function startRelay(scripts: readonly ConnectionScript[], fromIndex = 0) {
  const clock = createManualClock();
  const writer = createRecordingWriter();
  const engine = createScriptedEngine(scripts);
  let interrupt = () => {};
  const end = relayGeneration({
    engine,
    clock,
    limits: GENERATION_DEFAULTS,
    writer,
    url: "http://engine",
    generation: GENERATION,
    fromIndex,
    deadlineMs: DEADLINE_MS,
    recordProgress: () => {},
    recordReconnect: () => {},
    isStopped: writer.isDisconnected,
    setInterrupt: (next) => {
      interrupt = next;
    },
  });
  writer.watchGone(() => interrupt());
  return { clock, writer, engine, end };
}

const serveRest: ConnectionScript = (generation, from) => ({
  events: makeEvents(generation, from, TOKEN_COUNT),
  then: "stall",
});
const makeTokenEvent = (index: number, generation = GENERATION): EngineEvent => ({
  generation,
  index,
  token: `t${index}`,
});
const finish = (index: number): EngineEvent => ({ generation: GENERATION, index, finish: "stop" });

describe("relayGeneration", () => {
  /** Failures of the first connection after it has delivered the tokens below index `at`. */
  const faults: readonly {
    title: string;
    script: (at: number) => ReturnType<ConnectionScript>;
  }[] = [
    {
      title: "a closed connection",
      script: (at) => ({
        events: makeEvents(GENERATION, 0, TOKEN_COUNT).slice(0, at),
        then: "cut",
      }),
    },
    {
      title: "a stalled connection",
      script: (at) => ({
        events: makeEvents(GENERATION, 0, TOKEN_COUNT).slice(0, at),
        then: "stall",
      }),
    },
    {
      title: "an event of another generation",
      script: (at) => ({
        events: [
          ...makeEvents(GENERATION, 0, TOKEN_COUNT).slice(0, at),
          makeTokenEvent(at, "g2"),
          makeTokenEvent(at),
        ],
        then: "stall",
      }),
    },
    {
      title: "a gap in the token indexes",
      script: (at) => ({
        events: [
          ...makeEvents(GENERATION, 0, TOKEN_COUNT).slice(0, at),
          makeTokenEvent(at + 1),
          makeTokenEvent(at),
        ],
        then: "stall",
      }),
    },
    {
      title: "a finish event with an index above the number of tokens",
      script: (at) => ({
        events: [...makeEvents(GENERATION, 0, TOKEN_COUNT).slice(0, at), finish(at + 1)],
        then: "cut",
      }),
    },
    {
      title: "a finish event with an index below the number of tokens",
      script: (at) => ({
        events: [...makeEvents(GENERATION, 0, TOKEN_COUNT).slice(0, at + 1), finish(at)],
        then: "cut",
      }),
    },
    {
      title: "a connection that sends every event twice and closes",
      script: (at) => ({
        events: makeEvents(GENERATION, 0, TOKEN_COUNT).slice(0, at)
          .flatMap((event) => [event, event]),
        then: "cut",
      }),
    },
    {
      title: "a connection that repeats all events and closes",
      script: (at) => ({
        events: [0, 1].flatMap(() => makeEvents(GENERATION, 0, TOKEN_COUNT).slice(0, at)),
        then: "cut",
      }),
    },
  ];
  for (const { title, script } of faults) {
    for (let at = 0; at < TOKEN_COUNT; at++) {
      it(`delivers every token once after ${title} at token ${at}`, async () => {
        const { clock, writer, end } = startRelay([() => script(at), serveRest]);
        const result = await advanceUntilSettled(clock, end);
        expect(result).to.deep.equal({ type: "finished", tokens: TOKEN_COUNT, reason: "stop" });
        expect(writer.received).to.deep.equal(ALL_TOKENS);
      });
    }
  }

  it("delivers every token when the connection closes after each one", async () => {
    const { clock, writer, end } = startRelay([(generation, from) => ({
      events: makeEvents(generation, from, TOKEN_COUNT).slice(0, 1),
      then: "cut",
    })]);
    expect((await advanceUntilSettled(clock, end)).type).to.equal("finished");
    expect(writer.received).to.deep.equal(ALL_TOKENS);
  });

  it("skips repeated tokens when the engine resumes from index 0", async () => {
    const { clock, writer, engine, end } = startRelay([() => ({
      events: makeEvents(GENERATION, 0, TOKEN_COUNT),
      then: "cut",
    })], 4);
    await advanceUntilSettled(clock, end);
    expect(engine.calls).to.deep.equal(["resume 4"]);
    expect(writer.received).to.deep.equal(["4:t4", "5:t5"]);
  });

  const losses: readonly { title: string; then: ConnectionScript; cause: unknown }[] = [
    {
      title: "the engine sends no finish event",
      then: (generation, from) => ({
        events: makeEvents(generation, from, TOKEN_COUNT).slice(0, -1),
        then: "cut",
      }),
      cause: { code: "upstreamLost", reason: "attempts" },
    },
    {
      title: "the engine refuses connections",
      then: () => createResultError("upstreamUnreachable", "refused"),
      cause: { code: "upstreamUnreachable", reason: "attempts" },
    },
    {
      title: "the engine does not know the generation",
      then: () => createResultError("generationUnknown", "404"),
      cause: { code: "generationUnknown", reason: "generationUnknown" },
    },
    {
      title: "the engine only sends events of another generation",
      then: () => ({ events: [makeTokenEvent(TOKEN_COUNT, "g2")], then: "stall" }),
      cause: { code: "upstreamLost", reason: "attempts" },
    },
  ];
  for (const { title, then, cause } of losses) {
    it(`reports the generation as lost when ${title}`, async () => {
      const first: ConnectionScript = () => ({
        events: makeEvents(GENERATION, 0, TOKEN_COUNT).slice(0, TOKEN_COUNT),
        then: "cut",
      });
      const { clock, writer, end } = startRelay([first, then]);
      const result = await advanceUntilSettled(clock, end);
      expect(result).to.deep.equal({ type: "lost", tokens: TOKEN_COUNT, cause });
      expect(writer.received).to.deep.equal(ALL_TOKENS);
    });
  }

  it("stops reconnecting at the deadline", async () => {
    const { clock, end } = startRelay([() => ({ events: [], then: "cut" })]);
    clock.advance(DEADLINE_MS);
    const result = await advanceUntilSettled(clock, end);
    expect(result).to.deep.include({ type: "lost", tokens: 0 });
    expect(result).to.have.nested.property("cause.reason", "deadline");
  });

  it("stops at once when the caller disconnects while the engine sends nothing", async () => {
    const { clock, writer, engine, end } = startRelay([() => ({ events: [], then: "stall" })]);
    await new Promise((resolve) => setImmediate(resolve));
    writer.dropCaller();
    expect(await end).to.deep.equal({ type: "stopped", tokens: 0 });
    expect(clock.readMonotonicMs()).to.equal(0);
    expect(engine.calls).to.deep.equal(["resume 0"]);
  });

  it("waits for a slow caller and does not reconnect to the engine meanwhile", async () => {
    const { clock, writer, engine, end } = startRelay([
      () => ({ events: makeEvents(GENERATION, 0, TOKEN_COUNT).slice(0, 2), then: "cut" }),
      serveRest,
    ]);
    writer.setWritable(false);
    await new Promise((resolve) => setImmediate(resolve));
    clock.advance(GENERATION_DEFAULTS.slowCallerMs - 1);
    expect(engine.calls).to.deep.equal(["resume 0"]);
    writer.setWritable(true);
    expect((await advanceUntilSettled(clock, end)).type).to.equal("finished");
    expect(writer.received).to.deep.equal(ALL_TOKENS);
  });

  it("ends the stream of a caller that does not read within the limit", async () => {
    const { clock, writer, end } = startRelay([
      () => ({ events: makeEvents(GENERATION, 0, TOKEN_COUNT).slice(0, 2), then: "stall" }),
    ]);
    writer.setWritable(false);
    const result = await advanceUntilSettled(clock, end);
    expect(result).to.deep.equal({ type: "slow", tokens: 2 });
  });
});
