import { expect } from "chai";
import type { LoadClient } from "./load_client.ts";

/** Kind of response that an engine sends to the load request and to the cache event request. */
export type LoadResponse = "valid" | "wrongTypes" | "notJson" | "error" | "tooLarge" | "closed";

/** An engine that sends the same kind of response to every request. */
export interface ContractEngine {
  readonly url: string;
  close(): Promise<void>;
}

/** Options of {@link testLoadClient}. */
export interface LoadContractOptions {
  readonly name: string;
  readonly createClient: () => LoadClient;
  /** The `valid` response has 3 running generations and one cache event with sequence number 8. */
  readonly startEngine: (answer: LoadResponse) => Promise<ContractEngine>;
}

const FAULTS: readonly LoadResponse[] = ["wrongTypes", "notJson", "error", "tooLarge", "closed"];

/** Registers the tests that every implementation of {@link LoadClient} must pass. */
export function testLoadClient(options: LoadContractOptions): void {
  describe(`${options.name} load client contract`, () => {
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
      it(`fails to read load and cache events on a response of kind "${fault}"`, async () => {
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
