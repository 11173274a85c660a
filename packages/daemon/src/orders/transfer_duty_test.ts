import { expect } from "chai";
import type { AdoptionTransfer } from "./adoption_message_schema.ts";
import { ORDER_LIMITS } from "./constants.ts";
import { createAdopter } from "./create_adopter.ts";
import { createOrderTables } from "./create_order_tables.ts";
import type { OrderMessage } from "./order_message_schema.ts";
import { transferDuty } from "./transfer_duty.ts";

const KEYS = 2 * ORDER_LIMITS.transferRecords + 1;

describe("transfer of a duty", () => {
  const makeClaim = (key: string, claim: string, epoch = 1): OrderMessage => ({
    type: "claim",
    key,
    claim,
    digest: "d",
    incarnation: "predecessor",
    epoch,
  });
  const createFleet = () => {
    const predecessor = createOrderTables({ host: "predecessor", incarnation: "predecessor" });
    for (let epoch = 0; epoch < ORDER_LIMITS.retainedEpochs; epoch++) {
      predecessor.advanceEpochs();
    }
    for (let key = 0; key < KEYS; key++) {
      predecessor.applyMessage(makeClaim(`k${key}`, "first"));
    }
    const hosts = new Map(["a", "b"].map((host) => {
      const tables = createOrderTables({ host, incarnation: host });
      return [host, { tables, adopter: createAdopter({ tables, onAdopted: () => {} }) }];
    }));
    const send = (
      selectLostPart: (host: string, message: AdoptionTransfer) => "request" | "reply" | undefined,
    ) =>
      transferDuty({
        table: predecessor.duties.get("predecessor")!,
        candidates: ["a", "b"],
        createTransferId: () => "t",
        sendToSuccessor: (host, message) => {
          const lost = selectLostPart(host, message);
          const reply = lost === "request"
            ? undefined
            : hosts.get(host)?.adopter.applyTransfer(message);
          return Promise.resolve(lost === undefined ? reply : undefined);
        },
      });
    const claimAt = (host: string, message: OrderMessage) =>
      hosts.get(host)?.tables.applyMessage(message).type;
    return { predecessor, send, claimAt };
  };

  it("transfers all records and the range of dropped epochs to one successor only", async () => {
    const { predecessor, send, claimAt } = createFleet();
    expect(await send(() => undefined)).to.equal("a");
    expect(claimAt("a", makeClaim(`k${KEYS - 1}`, "second"))).to.equal("taken");
    expect(claimAt("a", makeClaim("dropped", "second", 0))).to.equal("expired");
    expect(claimAt("a", makeClaim("new", "second"))).to.equal("granted");
    expect(claimAt("b", makeClaim("new", "second"))).to.equal("expired");
    expect(predecessor.applyMessage(makeClaim("new", "third")).type).to.equal("moved");
  });

  it("tries the next host when a copy fails part way through", async () => {
    const { send, claimAt } = createFleet();
    const selectLostPart = (host: string, message: AdoptionTransfer) =>
      host === "a" && message.type === "stage" && message.frame === 1 ? "request" : undefined;
    expect(await send(selectLostPart)).to.equal("b");
    expect(claimAt("a", makeClaim("k0", "second"))).to.equal("expired");
    expect(claimAt("b", makeClaim("k0", "second"))).to.equal("taken");
  });

  it("offers the duty to no other host when the reply to its commit is lost", async () => {
    const { send, claimAt } = createFleet();
    const selectLostPart = (_host: string, message: AdoptionTransfer) =>
      message.type === "commit" ? "reply" : undefined;
    expect(await send(selectLostPart)).to.equal(undefined);
    expect(claimAt("a", makeClaim("k0", "second"))).to.equal("taken");
    expect(claimAt("b", makeClaim("k0", "second"))).to.equal("expired");
  });

  it("keeps the duty frozen when no host can be reached", async () => {
    const { predecessor, send } = createFleet();
    expect(await send(() => "request")).to.equal(undefined);
    expect(predecessor.applyMessage(makeClaim("new", "third")).type).to.equal("moved");
  });
});
