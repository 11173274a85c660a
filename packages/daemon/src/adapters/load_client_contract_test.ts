import { expect } from "chai";
import type { LoadClient } from "./load_client.ts";

/** What an engine answers to both questions. */
export type LoadAnswer = "valid" | "wrongShape" | "noJson" | "error" | "tooLarge" | "closed";

/** An engine that answers questions about its load in one way. */
export interface ContractEngine {
  readonly url: string;
  close(): Promise<void>;
}

/** Options of {@link testLoadClient}. */
export interface LoadContractOptions {
  readonly name: string;
  readonly createClient: () => LoadClient;
  /** A valid engine reports 3 running generations and one cache event of sequence 8. */
  readonly startEngine: (answer: LoadAnswer) => Promise<ContractEngine>;
}

const FAULTS: readonly LoadAnswer[] = ["wrongShape", "noJson", "error", "tooLarge", "closed"];

/** Registers the tests that every implementation of {@link LoadClient} must pass. */
export function testLoadClient(options: LoadContractOptions): void {
  describe(`${options.name} as a load client`, () => {
    let engine: ContractEngine;

    afterEach(() => engine.close());

    it("reads the load", async () => {
      engine = await options.startEngine("valid");
      const load = await options.createClient().readLoad(engine.url);
      expect(load.unsafeCoerce()).to.include({ running: 3, leaving: false });
    });

    it("reads the cache events after a sequence number", async () => {
      engine = await options.startEngine("valid");
      const events = await options.createClient().readCacheEvents(engine.url, 7);
      expect(events.unsafeCoerce().map(({ sequence }) => sequence)).to.deep.equal([8]);
    });

    for (const fault of FAULTS) {
      it(`fails on an answer that is "${fault}"`, async () => {
        engine = await options.startEngine(fault);
        const client = options.createClient();
        const load = await client.readLoad(engine.url);
        const events = await client.readCacheEvents(engine.url, 0);
        expect(load.isLeft()).to.equal(true);
        expect(events.isLeft()).to.equal(true);
      });
    }
  });
}
