import type { ResultError } from "@crocussail/protocol";
import { expect } from "chai";
import type { EngineClient, EngineRequest, EngineStream } from "./engine_client.ts";
import type { EngineEvent } from "./engine_event_schema.ts";

/** How the engine behind the client under test behaves at its next calls. */
export type EngineBehaviour =
  | "serve"
  | "refuse"
  | "faultBeforeAnswer"
  | "forget"
  | "cutAfterTwo"
  | "malformedAfterTwo"
  | "oversizedAfterTwo"
  | "endWithoutFinish"
  | "silent";

/** An engine client and the engine behind it; the engine serves three tokens and a finish. */
export interface EngineContractSetup {
  readonly client: EngineClient;
  readonly url: string;
  /** URL at which nothing listens. */
  readonly deadUrl: string;
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

    const start = async () =>
      (await setup.client.startGeneration(setup.url, REQUEST)).extract() as EngineStream;

    it("streams every event of a new generation", async () => {
      setup.setBehaviour("serve");
      const events = await readAll(await start());
      expect(events.map((event) => event.index)).to.deep.equal([0, 1, 2, 3]);
      expect(events.at(-1)?.finish).to.equal("stop");
    });

    it("resumes from an index", async () => {
      setup.setBehaviour("serve");
      const resumed = await setup.client.resumeGeneration(setup.url, "g1", 2);
      const events = await readAll(resumed.extract() as EngineStream);
      expect(events.map((event) => event.index)).to.deep.equal([2, 3]);
    });

    const broken: readonly EngineBehaviour[] = [
      "cutAfterTwo",
      "malformedAfterTwo",
      "oversizedAfterTwo",
      "endWithoutFinish",
    ];
    for (const behaviour of broken) {
      it(`ends the stream without a finish, after the valid events: ${behaviour}`, async () => {
        setup.setBehaviour(behaviour);
        const events = await readAll(await start());
        expect(events.map((event) => event.index)).to.deep.equal([0, 1]);
      });
    }

    it("ends a waiting read when the stream is closed", async () => {
      setup.setBehaviour("silent");
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
      { behaviour: "faultBeforeAnswer", code: "upstreamLost", ran: "unknown" },
    ];
    for (const { behaviour, code, ran } of failures) {
      it(`reports a failed start truthfully: ${behaviour}`, async () => {
        setup.setBehaviour(behaviour);
        const started = await setup.client.startGeneration(setup.url, REQUEST);
        expect(started.extract()).to.include({ code, ran });
      });
    }

    it("reports a start at a dead engine as not run", async () => {
      const started = await setup.client.startGeneration(setup.deadUrl, REQUEST);
      expect(started.extract()).to.include({ code: "upstreamUnreachable", ran: "no" });
    });

    it("reports a generation that the engine does not hold", async () => {
      setup.setBehaviour("forget");
      const resumed = await setup.client.resumeGeneration(setup.url, "g1", 2);
      expect(resumed.extract()).to.include({ code: "generationUnknown" });
    });

    it("cancels; an unknown generation counts as cancelled, a dead engine does not", async () => {
      setup.setBehaviour("serve");
      expect((await setup.client.cancelGeneration(setup.url, "g1")).isRight()).to.equal(true);
      setup.setBehaviour("forget");
      expect((await setup.client.cancelGeneration(setup.url, "g1")).isRight()).to.equal(true);
      const failed = await setup.client.cancelGeneration(setup.deadUrl, "g1");
      expect(failed.extract()).to.include({ code: "upstreamUnreachable" });
    });
  });
}
