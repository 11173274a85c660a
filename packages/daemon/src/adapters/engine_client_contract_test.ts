import type { ResultError } from "@crocussail/protocol";
import { expect } from "chai";
import type { Either } from "purify-ts";
import type { EngineClient, EngineRequest, EngineStream } from "./engine_client.ts";
import type { EngineEvent } from "./engine_event_schema.ts";

/** How the engine behind the client under test responds to the next calls. */
export type EngineBehaviour =
  | "serve"
  | "refuse"
  | "closeBeforeResponse"
  | "unknownGeneration"
  | "closeAfterTwoEvents"
  | "malformedAfterTwoEvents"
  | "oversizedAfterTwoEvents"
  | "endWithoutFinish"
  | "headersOnly";

/** An engine client and its engine, which sends three tokens and a finish event. */
export interface EngineContractSetup {
  readonly client: EngineClient;
  readonly url: string;
  /** URL on which nothing listens. */
  readonly unreachableUrl: string;
  setBehaviour(behaviour: EngineBehaviour): void;
  close(): Promise<void>;
}

const REQUEST: EngineRequest = {
  generation: "g1",
  model: "m",
  prompt: "p",
  priority: 5,
  cacheSalt: "planners",
};

/** Returns an opened stream; fails with the reason of a failed open. */
function unwrapStream(opened: Either<ResultError, EngineStream>): EngineStream {
  return opened.caseOf({
    Left: (error) => expect.fail(`open failed: ${JSON.stringify(error)}`),
    Right: (stream) => stream,
  });
}

async function readAll(stream: EngineStream): Promise<EngineEvent[]> {
  const events: EngineEvent[] = [];
  for (let batch = await stream.readBatch(); batch; batch = await stream.readBatch()) {
    events.push(...batch);
  }
  return events;
}

/** Registers the tests that every implementation of {@link EngineClient} must pass. */
export function testEngineClientContract(
  name: string,
  createSetup: () => Promise<EngineContractSetup>,
): void {
  describe(`engine client contract: ${name}`, () => {
    let setup: EngineContractSetup;

    beforeEach(async () => {
      setup = await createSetup();
    });

    afterEach(() => setup.close());

    const start = async () => unwrapStream(await setup.client.startGeneration(setup.url, REQUEST));

    it("streams every event of a new generation", async () => {
      setup.setBehaviour("serve");
      const events = await readAll(await start());
      expect(events.map((event) => event.index)).to.deep.equal([0, 1, 2, 3]);
      expect(events.at(-1)?.finish).to.equal("stop");
    });

    it("resumes from an index", async () => {
      setup.setBehaviour("serve");
      const resumed = await setup.client.resumeGeneration(setup.url, "g1", 2);
      const events = await readAll(unwrapStream(resumed));
      expect(events.map((event) => event.index)).to.deep.equal([2, 3]);
    });

    const brokenStreams: readonly EngineBehaviour[] = [
      "closeAfterTwoEvents",
      "malformedAfterTwoEvents",
      "oversizedAfterTwoEvents",
      "endWithoutFinish",
    ];
    for (const behaviour of brokenStreams) {
      it(`ends the stream after the valid events, without finish: ${behaviour}`, async () => {
        setup.setBehaviour(behaviour);
        const events = await readAll(await start());
        expect(events.map((event) => event.index)).to.deep.equal([0, 1]);
      });
    }

    it("ends a pending read and later reads when the stream is closed", async () => {
      setup.setBehaviour("headersOnly");
      const stream = await start();
      const read = stream.readBatch();
      stream.close();
      expect(await read).to.equal(undefined);
      expect(await stream.readBatch()).to.equal(undefined);
    });

    const failures: readonly {
      behaviour: EngineBehaviour;
      code: ResultError["code"];
      ran: ResultError["ran"];
    }[] = [
      { behaviour: "refuse", code: "upstreamRefused", ran: "no" },
      { behaviour: "closeBeforeResponse", code: "upstreamLost", ran: "unknown" },
    ];
    for (const { behaviour, code, ran } of failures) {
      it(`reports a failed start with its execution state: ${behaviour}`, async () => {
        setup.setBehaviour(behaviour);
        const started = await setup.client.startGeneration(setup.url, REQUEST);
        expect(started.extract()).to.include({ code, ran });
      });
    }

    it("reports a start at an unreachable engine as not executed", async () => {
      const started = await setup.client.startGeneration(setup.unreachableUrl, REQUEST);
      expect(started.extract()).to.include({ code: "upstreamUnreachable", ran: "no" });
    });

    it("reports a generation that is unknown to the engine", async () => {
      setup.setBehaviour("unknownGeneration");
      const resumed = await setup.client.resumeGeneration(setup.url, "g1", 2);
      expect(resumed.extract()).to.include({ code: "generationUnknown" });
    });

    it("cancels an unknown generation, but not one at an unreachable engine", async () => {
      setup.setBehaviour("serve");
      expect((await setup.client.cancelGeneration(setup.url, "g1")).isRight()).to.equal(true);
      setup.setBehaviour("unknownGeneration");
      expect((await setup.client.cancelGeneration(setup.url, "g1")).isRight()).to.equal(true);
      const failed = await setup.client.cancelGeneration(setup.unreachableUrl, "g1");
      expect(failed.extract()).to.include({ code: "upstreamUnreachable" });
    });
  });
}
