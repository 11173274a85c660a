import { expect } from "chai";
import { ORDER_LIMITS } from "./constants.ts";
import { createOrderTables } from "./create_order_tables.ts";
import type { OrderMessage } from "./order_message_schema.ts";

type MessageParts = Partial<Omit<OrderMessage, "type" | "outcome">>;

describe("order tables", () => {
  const limits = { maxRecords: 2, maxOutcomeBytes: 10 };
  const createTables = () => createOrderTables({ host: "host-1", incarnation: "i", limits });
  const makeClaim = (parts: MessageParts = {}): OrderMessage => ({
    type: "claim",
    key: "k",
    claim: "c",
    digest: "d",
    incarnation: "i",
    epoch: 0,
    ...parts,
  });
  const makeRecord = (bytes: number): OrderMessage => ({
    ...makeClaim(),
    type: "record",
    outcome: {
      type: "completed",
      status: 201,
      headers: {},
      body: new Uint8Array(bytes),
      isBodyOmitted: false,
    },
  });

  it("refuses a new key at the record limit and keeps existing grants", () => {
    const tables = createTables();
    const replies = ["a", "b", "c"].map((key) => tables.applyMessage(makeClaim({ key })).type);
    expect(replies).to.deep.equal(["granted", "granted", "full"]);
    expect(tables.applyMessage(makeClaim({ key: "a", claim: "e" })).type).to.equal("taken");
    expect(tables.countRecords()).to.equal(2);
  });

  it("omits a body above the byte limit and keeps the status", () => {
    const tables = createTables();
    tables.applyMessage(makeRecord(11));
    const reply = tables.applyMessage(makeClaim({ claim: "e" }));
    const outcome = reply.type === "taken" ? reply.outcome : undefined;
    expect(outcome).to.include({ status: 201, isBodyOmitted: true });
    expect(tables.countOutcomeBytes()).to.equal(0);
  });

  it("drops a key only with its epoch and never grants it again", () => {
    const tables = createTables();
    tables.applyMessage(makeClaim());
    for (let epoch = 1; epoch < ORDER_LIMITS.retainedEpochs; epoch++) {
      tables.advanceEpochs();
    }
    expect(tables.applyMessage(makeClaim({ claim: "e" })).type).to.equal("taken");
    tables.advanceEpochs();
    expect(tables.applyMessage(makeClaim({ claim: "e" })).type).to.equal("expired");
    expect(tables.countRecords()).to.equal(0);
  });

  const table: [string, MessageParts][] = [
    ["another incarnation", { incarnation: "other" }],
    ["a future epoch", { epoch: 1 }],
  ];
  for (const [name, parts] of table) {
    it(`replies expired for ${name}`, () => {
      expect(createTables().applyMessage(makeClaim(parts)).type).to.equal("expired");
    });
  }
});
