import { expect } from "chai";
import { createByteBudget } from "./create_byte_budget.ts";
import { createReleaseMeter } from "./create_release_meter.ts";

const MIB = 1_048_576;

describe("createReleaseMeter", () => {
  const countCollections = (bytes: number, accounts: number) => {
    let collections = 0;
    const meter = createReleaseMeter(() => collections++);
    const budget = createByteBudget(32 * MIB, meter);
    for (let index = 0; index < accounts; index++) {
      const account = budget.open();
      account.add(bytes);
      account.close();
    }
    return collections;
  };

  it("collects garbage once large buffers of 4 MiB were let go of", () => {
    expect(countCollections(MIB, 3)).to.equal(0);
    expect(countCollections(MIB, 4)).to.equal(1);
    expect(countCollections(MIB, 9)).to.equal(2);
  });

  it("leaves small buffers to the engine", () => {
    expect(countCollections(10_000, 10_000)).to.equal(0);
  });
});
