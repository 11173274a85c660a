import { expect } from "chai";
import { createRoomQueue } from "./create_room_queue.ts";

describe("createRoomQueue", () => {
  let nowMs = 0;
  const start = () => {
    nowMs = 0;
    const queue = createRoomQueue(() => nowMs);
    const ended: string[] = [];
    const add = (name: string, priority: number, arrivedAtMs: number, untilMs = 1_000) =>
      queue.waitForTurn("desk", { priority, arrivedAtMs, untilMs }, (ahead) => (ahead + 1) * 100)
        .then((isTurn) => ended.push(`${name}: ${isTurn}`));
    return { queue, ended, add };
  };
  const settle = () => new Promise((resolve) => setImmediate(resolve));

  it("gives the turn to the most urgent request, the oldest of several", async () => {
    const { queue, ended, add } = start();
    add("late", 1, 5);
    add("early", 1, 2);
    add("urgent", 0, 9);
    for (let count = 0; count < 3; count++) {
      queue.wakeNext("desk");
      await settle();
    }
    expect(ended).to.deep.equal(["urgent: true", "early: true", "late: true"]);
  });

  it("refuses at once what would wait too long", async () => {
    const { queue, ended, add } = start();
    add("first", 0, 0);
    add("second", 0, 1, 150);
    await settle();
    expect(ended).to.deep.equal(["second: false"]);
    expect(queue.count("desk")).to.equal(1);
  });

  it("ends waits that are over", async () => {
    const { queue, ended, add } = start();
    add("first", 0, 0, 300);
    nowMs = 300;
    queue.expire();
    await settle();
    expect(ended).to.deep.equal(["first: false"]);
    expect(queue.listServices()).to.deep.equal([]);
  });
});
