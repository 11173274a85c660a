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

const LENGTH = 6;
const ALL_TOKENS = Array.from({ length: LENGTH }, (_, index) => `${index}:t${index}`);
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
    noteProgress: () => {},
    noteReconnect: () => {},
    isStopped: writer.isGone,
    setInterrupt: (next) => {
      interrupt = next;
    },
  });
  writer.watchGone(() => interrupt());
  return { clock, writer, engine, end };
}

const serveRest: ConnectionScript = (generation, from) => ({
  events: makeEvents(generation, from, LENGTH),
  then: "stall",
});
const make = (index: number, generation = GENERATION): EngineEvent => ({
  generation,
  index,
  token: `t${index}`,
});
const finish = (index: number): EngineEvent => ({ generation: GENERATION, index, finish: "stop" });

describe("relay of a generation", () => {
  /** Faults of the first connection, which has brought the tokens below `at`. */
  const faults: readonly {
    title: string;
    script: (at: number) => ReturnType<ConnectionScript>;
  }[] = [
    {
      title: "link cut",
      script: (at) => ({ events: makeEvents(GENERATION, 0, LENGTH).slice(0, at), then: "cut" }),
    },
    {
      title: "link stalled",
      script: (at) => ({ events: makeEvents(GENERATION, 0, LENGTH).slice(0, at), then: "stall" }),
    },
    {
      title: "event of another generation",
      script: (at) => ({
        events: [...makeEvents(GENERATION, 0, LENGTH).slice(0, at), make(at, "g2"), make(at)],
        then: "stall",
      }),
    },
    {
      title: "gap",
      script: (at) => ({
        events: [...makeEvents(GENERATION, 0, LENGTH).slice(0, at), make(at + 1), make(at)],
        then: "stall",
      }),
    },
    {
      title: "finish beyond the tokens delivered",
      script: (at) => ({
        events: [...makeEvents(GENERATION, 0, LENGTH).slice(0, at), finish(at + 1)],
        then: "cut",
      }),
    },
    {
      title: "finish below the tokens delivered",
      script: (at) => ({
        events: [...makeEvents(GENERATION, 0, LENGTH).slice(0, at + 1), finish(at)],
        then: "cut",
      }),
    },
    {
      title: "every event twice, then a cut",
      script: (at) => ({
        events: makeEvents(GENERATION, 0, LENGTH).slice(0, at).flatMap((event) => [event, event]),
        then: "cut",
      }),
    },
    {
      title: "all earlier events again, then a cut",
      script: (at) => ({
        events: [0, 1].flatMap(() => makeEvents(GENERATION, 0, LENGTH).slice(0, at)),
        then: "cut",
      }),
    },
  ];
  for (const { title, script } of faults) {
    for (let at = 0; at < LENGTH; at++) {
      it(`delivers every token once after ${title} at token ${at}`, async () => {
        const { clock, writer, end } = startRelay([() => script(at), serveRest]);
        const result = await advanceUntilSettled(clock, end);
        expect(result).to.deep.equal({ type: "finished", tokens: LENGTH, reason: "stop" });
        expect(writer.received).to.deep.equal(ALL_TOKENS);
      });
    }
  }

  it("survives a cut after every single token", async () => {
    const { clock, writer, end } = startRelay([(generation, from) => ({
      events: makeEvents(generation, from, LENGTH).slice(0, 1),
      then: "cut",
    })]);
    expect((await advanceUntilSettled(clock, end)).type).to.equal("finished");
    expect(writer.received).to.deep.equal(ALL_TOKENS);
  });

  it("asks an engine that starts again at 0 for the rest and skips the repeats", async () => {
    const { clock, writer, engine, end } = startRelay([() => ({
      events: makeEvents(GENERATION, 0, LENGTH),
      then: "cut",
    })], 4);
    await advanceUntilSettled(clock, end);
    expect(engine.calls).to.deep.equal(["resume 4"]);
    expect(writer.received).to.deep.equal(["4:t4", "5:t5"]);
  });

  const losses: readonly { title: string; then: ConnectionScript; cause: unknown }[] = [
    {
      title: "a finish that never comes",
      then: (generation, from) => ({
        events: makeEvents(generation, from, LENGTH).slice(0, -1),
        then: "cut",
      }),
      cause: { code: "upstreamLost", reason: "attempts" },
    },
    {
      title: "an engine that is down",
      then: () => createResultError("upstreamUnreachable", "refused"),
      cause: { code: "upstreamUnreachable", reason: "attempts" },
    },
    {
      title: "an engine that has forgotten the generation",
      then: () => createResultError("generationUnknown", "404"),
      cause: { code: "generationUnknown", reason: "generationUnknown" },
    },
    {
      title: "an engine that only sends another generation",
      then: () => ({ events: [make(LENGTH, "g2")], then: "stall" }),
      cause: { code: "upstreamLost", reason: "attempts" },
    },
  ];
  for (const { title, then, cause } of losses) {
    it(`never ends complete with ${title}`, async () => {
      const first: ConnectionScript = () => ({
        events: makeEvents(GENERATION, 0, LENGTH).slice(0, LENGTH),
        then: "cut",
      });
      const { clock, writer, end } = startRelay([first, then]);
      const result = await advanceUntilSettled(clock, end);
      expect(result).to.deep.equal({ type: "lost", tokens: LENGTH, cause });
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

  it("stops at once when the caller goes while the engine is silent", async () => {
    const { clock, writer, engine, end } = startRelay([() => ({ events: [], then: "stall" })]);
    await new Promise((resolve) => setImmediate(resolve));
    writer.leave();
    expect(await end).to.deep.equal({ type: "stopped", tokens: 0 });
    expect(clock.readMonotonicMs()).to.equal(0);
    expect(engine.calls).to.deep.equal(["resume 0"]);
  });

  it("waits for a slow caller that reads again, and reads no engine meanwhile", async () => {
    const { clock, writer, engine, end } = startRelay([
      () => ({ events: makeEvents(GENERATION, 0, LENGTH).slice(0, 2), then: "cut" }),
      serveRest,
    ]);
    writer.setRoom(false);
    await new Promise((resolve) => setImmediate(resolve));
    clock.advance(GENERATION_DEFAULTS.slowCallerMs - 1);
    expect(engine.calls).to.deep.equal(["resume 0"]);
    writer.setRoom(true);
    expect((await advanceUntilSettled(clock, end)).type).to.equal("finished");
    expect(writer.received).to.deep.equal(ALL_TOKENS);
  });

  it("cuts a caller that does not read within the limit", async () => {
    const { clock, writer, end } = startRelay([
      () => ({ events: makeEvents(GENERATION, 0, LENGTH).slice(0, 2), then: "stall" }),
    ]);
    writer.setRoom(false);
    const result = await advanceUntilSettled(clock, end);
    expect(result).to.deep.equal({ type: "slow", tokens: 2 });
  });
});
