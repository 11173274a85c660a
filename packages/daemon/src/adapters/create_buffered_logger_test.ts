import { expect } from "chai";
import { pbkdf2 } from "node:crypto";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from "node:fs";
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createManualClock } from "../common/create_manual_clock.ts";
import { createBufferedLogger } from "./create_buffered_logger.ts";
import { createSystemClock } from "./create_system_clock.ts";
import type { Metrics } from "@crocussail/protocol";

/** Creates metrics that count the lines that a logger reports as dropped. */
function createDropCounter(): Metrics & { readonly dropped: number } {
  let dropped = 0;
  return {
    increment: (name) => {
      dropped += Number(name === "log.dropped");
    },
    gauge: () => {},
    distribution: () => {},
    get dropped() {
      return dropped;
    },
  };
}

/** Jobs that fill the thread pool, in which writes to the log run too. */
const BUSY_JOBS = 16;
const BUSY_ROUNDS = 20_000;
const runBusyJob = () =>
  new Promise<void>((resolve) => pbkdf2("a", "b", BUSY_ROUNDS, 64, "sha512", () => resolve()));

describe("createBufferedLogger", () => {
  let directory: string;
  let path: string;
  let descriptor: number;
  let metrics: ReturnType<typeof createDropCounter>;

  beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), "log-"));
    path = join(directory, "log");
    descriptor = openSync(path, "a");
    metrics = createDropCounter();
  });
  afterEach(() => {
    closeSync(descriptor);
    rmSync(directory, { recursive: true });
  });

  it("writes one JSON line for each event", async () => {
    const clock = createManualClock();
    const logger = createBufferedLogger({ clock, host: "h1", metrics, descriptor });
    logger.writeEvent("requestPlaced", { request: "r1", upstream: "u1" });
    logger.writeEvent("requestServed", { request: "r1", end: "answered" });
    await logger.flush();
    const lines = readFileSync(path, "utf8").trim().split("\n").map((line) => JSON.parse(line));
    expect(lines.map(({ event, host, request }) => [event, host, request])).to.deep.equal([
      [8010, "h1", "r1"],
      [8012, "h1", "r1"],
    ]);
    expect(metrics.dropped).to.equal(0);
  });

  it("keeps the order of lines and flushes all of them while the thread pool is busy", async () => {
    const clock = createSystemClock();
    const logger = createBufferedLogger({ clock, host: "h1", metrics, descriptor });
    const busy = Array.from({ length: BUSY_JOBS }, () => runBusyJob());
    logger.writeEvent("requestPlaced", { request: "r1" });
    logger.writeEvent("requestServed", { request: "r1" });
    await logger.flush();
    logger.writeEvent("gatewayStopped", { running: 0 });
    await logger.flush();
    const lines = readFileSync(path, "utf8").trim().split("\n").map((line) => JSON.parse(line));
    expect(lines.map(({ name }) => name))
      .to.deep.equal(["requestPlaced", "requestServed", "gatewayStopped"]);
    await Promise.all(busy);
  });

  it("limits the lines per second of one event without limiting other events", async () => {
    const clock = createManualClock();
    const logger = createBufferedLogger({ clock, host: "h1", metrics, descriptor });
    for (let index = 0; index < 1_000; index++) {
      logger.writeEvent("moveFailed", { request: `r${index}` });
    }
    logger.writeEvent("requestServed", { request: "r1" });
    clock.advance(1_000);
    logger.writeEvent("moveFailed", { request: "later" });
    await logger.flush();
    const text = readFileSync(path, "utf8");
    expect(text.match(/moveFailed/g)).to.have.length(201);
    expect(text).to.include("requestServed");
    expect(metrics.dropped).to.equal(800);
  });

  it("neither blocks nor grows when the reader stalls, and counts dropped lines", async () => {
    let resumeReader = () => {};
    const server = createServer((socket) => {
      socket.pause();
      resumeReader = () => socket.resume();
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    await new Promise<void>((resolve) => socket.once("connect", resolve));
    const { fd } = (socket as Socket & { _handle: { fd: number } })._handle;
    const clock = createManualClock();
    const logger = createBufferedLogger({ clock, host: "h1", metrics, descriptor: fd });
    const startMs = performance.now();
    const heapBytesBefore = process.memoryUsage().heapUsed + process.memoryUsage().external;
    const padding = "x".repeat(400);
    for (let round = 0; round < 400; round++) {
      for (let index = 0; index < 150; index++) {
        logger.writeEvent("requestServed", { request: `r${index}`, padding });
      }
      clock.advance(1_000);
      if (round % 20 === 0) {
        await new Promise((resolve) => setImmediate(resolve));
      }
    }
    const grownBytes = process.memoryUsage().heapUsed + process.memoryUsage().external -
      heapBytesBefore;
    expect(performance.now() - startMs).to.be.below(5_000);
    expect(metrics.dropped).to.be.above(10_000);
    expect(grownBytes).to.be.below(64 * 1_048_576);
    // A write still pending would go to the next connection that gets the number of the descriptor.
    resumeReader();
    expect(await logger.flush()).to.equal(true);
    socket.destroy();
    server.close();
  }).timeout(20_000);
});
