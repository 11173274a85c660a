import {
  createRawEngine,
  createTestDeployment,
  PLATFORM_NAMES,
  sendCallerRequest,
  waitUntil,
} from "@crocussail/platform/stand_ins";
import type { RawEngine, TestDeployment } from "@crocussail/platform/stand_ins";
import { expect } from "chai";
import { existsSync } from "node:fs";
import type { Socket } from "node:net";
import { createCrowd } from "./create_crowd.ts";
import type { Crowd, CrowdOptions } from "./create_crowd.ts";
import { startHostProcess } from "./start_host_process.ts";
import type { HostListener, HostProcess } from "./start_host_process.ts";

const PROGRAM = "target/crocussaild.cjs";
const MEMORY_MB = 128;
const DESCRIPTORS = 4_100;
/** Descriptors of a host that has fewer than a crowd opens. */
const FEW_DESCRIPTORS = 512;
/** Descriptors that a host keeps for files and connections of its own. */
const KEPT_DESCRIPTORS = 128;
const TRIES = 40;
const RETRY_MS = 250;
const LISTENERS: readonly HostListener[] = [
  "callers",
  "hosts",
  "readiness",
  "directory",
  "metrics",
];
const LARGE_BODY = "x".repeat(4_000_000);
/** One part of a large stream, the number of parts, and the time between them. */
const STREAM_PART_BYTES = 100_000;
const STREAM_PARTS = 80;
const STREAM_PART_MS = 50;

const renderHead = (method: string, target: string, lines: readonly string[] = []) =>
  [
    `${method} ${target} HTTP/1.1`,
    "Host: depots.example",
    `${PLATFORM_NAMES.headers.requestId}: x1`,
    `${PLATFORM_NAMES.headers.teamKey}: key-1`,
    ...lines,
    "",
  ].join("\r\n");
/** Header lines of four to six bytes, `bytes` together. */
const renderShortLines = (bytes: number) => {
  let text = "";
  for (let index = 0; text.length < bytes; index++) {
    text += `${(index % 1_296).toString(36)}:\r\n`;
  }
  return text;
};
interface CrowdForm extends Omit<CrowdOptions, "address"> {
  /** Descriptors that the host may open. */
  readonly descriptors?: number;
}

const SHORT_REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const PATHS: Readonly<Record<HostListener, string>> = {
  callers: "/read/x",
  hosts: "/read/x",
  readiness: PLATFORM_NAMES.paths.readiness,
  directory: PLATFORM_NAMES.paths.directory,
  metrics: "/metrics",
};

/** What the connections of a crowd do at any listener. */
const FORMS: Readonly<Record<string, (listener: HostListener) => CrowdForm>> = {
  "requests without headers sent ahead, responses unread": () => ({
    connections: 200,
    repeated: { text: SHORT_REQUEST, count: 20_000 },
  }),
  "sound requests sent ahead, responses unread": (listener) => ({
    connections: 60,
    repeated: { text: `${renderHead("GET", PATHS[listener])}\r\n`, count: 4_000 },
  }),
  "heads of short lines without an end": () => ({
    connections: 1_500,
    begin: () => renderHead("GET", "/read/x") + renderShortLines(60_000),
  }),
  "heads of short lines, bodies without an end": (listener) => ({
    connections: 1_500,
    begin: () =>
      `${renderHead("POST", PATHS[listener])}${renderShortLines(15_500)}Content-Length: 9\r\n\r\nx`,
  }),
  "more connections than descriptors": () => ({ connections: 800, descriptors: FEW_DESCRIPTORS }),
  "heads without an end on more connections than descriptors": () => ({
    connections: 800,
    descriptors: FEW_DESCRIPTORS,
    begin: () => "GET / HTTP/1.1\r\nHost: a\r\n",
  }),
};

describe("clients that do not keep to the protocol", function () {
  this.timeout(120_000);
  let deployment: TestDeployment;
  let engine: RawEngine | undefined;
  let host: HostProcess;
  let crowd: Crowd | undefined;
  before(() => {
    expect(existsSync(PROGRAM), "npm run bundle builds the program").to.equal(true);
  });
  const start = async (descriptors = DESCRIPTORS) => {
    deployment = await createTestDeployment({ hosts: 0, engines: 0, desks: 1 });
    const { store } = deployment;
    host = startHostProcess({ storeAddress: store.address, memoryMb: MEMORY_MB, descriptors });
    await expectAnswer();
    host.resetPeakMemory();
  };
  afterEach(async () => {
    crowd?.leave();
    crowd = undefined;
    host.close();
    engine?.close();
    engine = undefined;
    await deployment.close();
  });

  /** Sends an ordinary request, again while it is refused or not answered, as clients do. */
  const expectAnswer = async () => {
    let status = 0;
    for (let tries = 0; tries < TRIES && status !== 200 && host.isRunning(); tries++) {
      await new Promise((resolve) => setTimeout(resolve, tries === 0 ? 0 : RETRY_MS));
      const answer = await sendCallerRequest({
        address: host.addresses.callers,
        requestId: `s${tries}`,
        target: "/read/x",
        body: "small",
        timeoutMs: 2_000,
      });
      status = answer.status;
    }
    expect(status, host.readOutput().slice(-2_000)).to.equal(200);
  };
  /** Checks the process while the crowd is there, and that it can be stopped. */
  const expectSound = async (descriptors = DESCRIPTORS) => {
    await expectAnswer();
    expect(host.isRunning(), host.readOutput().slice(-2_000)).to.equal(true);
    expect(host.countDescriptors()).to.be.at.most(descriptors - KEPT_DESCRIPTORS);
    expect(host.readPeakMemoryMib()).to.be.below(MEMORY_MB);
  };
  const send = async (options: CrowdOptions) => {
    crowd = createCrowd(options);
    await crowd.settle();
  };

  for (const [title, describeCrowd] of Object.entries(FORMS)) {
    for (const listener of LISTENERS) {
      it(`leave a host running at the address for ${listener}: ${title}`, async () => {
        const { descriptors, ...form } = describeCrowd(listener);
        await start(descriptors);
        await send({ address: host.addresses[listener], ...form });
        await expectSound(descriptors);
      });
    }
  }

  for (const kind of ["read", "book"]) {
    it(`leave a host running: bodies without an end to /${kind}/`, async () => {
      await start();
      const head = `${renderHead("POST", `/${kind}/x`)}Content-Length: 1000000\r\n\r\n`;
      await send({
        address: host.addresses.callers,
        connections: 150,
        begin: () => head + "x".repeat(900_000),
      });
      await expectSound();
    });
  }

  /** Starts an upstream whose responses begin with `framing` and are written by `writeBody`. */
  const startEngine = async (
    service: string,
    framing: string,
    writeBody: (socket: Socket) => void,
  ) => {
    engine = await createRawEngine("127.0.3.1", (socket, { requestId, upstreamId }) => {
      socket.write([
        "HTTP/1.1 200 OK",
        `${PLATFORM_NAMES.headers.requestId}: ${requestId}`,
        `${PLATFORM_NAMES.headers.signature}: signed by ${upstreamId}`,
        framing,
        "Connection: close",
        "\r\n",
      ].join("\r\n"));
      writeBody(socket);
    });
    deployment.publish({ id: "large-1", address: engine.address }, service, { slots: 400 });
    deployment.configure(2, buildLargeConfiguration());
    const countVersions = () => host.readOutput().match(/"name":"settingsInForce"/g)?.length ?? 0;
    const hasJoined = () => host.readOutput().includes('"upstream":"large-1","service"');
    await waitUntil(() => countVersions() === 2 && hasJoined(), 10_000);
  };

  it("leave a host running: large responses that are not read", async () => {
    await start();
    await startEngine("large", `Content-Length: ${LARGE_BODY.length}`, (socket) => {
      socket.write(LARGE_BODY);
    });
    await send({
      address: host.addresses.callers,
      connections: 150,
      begin: (index) => `${renderHead("GET", "/large/x").replace("x1", `r${index}`)}\r\n`,
    });
    await expectSound();
  });

  it("leave a host running: large streams that are not read", async () => {
    await start();
    await startEngine("llm", "Content-Type: text/event-stream", (socket) => {
      let id = 0;
      const timer = setInterval(() => {
        socket.write(`id: ${id++}\ndata: ${"x".repeat(STREAM_PART_BYTES)}\n\n`);
        if (id === STREAM_PARTS || socket.destroyed) {
          clearInterval(timer);
        }
      }, STREAM_PART_MS);
    });
    await send({
      address: host.addresses.callers,
      connections: 150,
      begin: (index) =>
        renderHead("POST", "/plan/x").replace("x1", `g${index}`) +
        `${PLATFORM_NAMES.headers.tokens}: 10,100\r\n\r\n`,
    });
    await new Promise((resolve) => setTimeout(resolve, STREAM_PARTS * STREAM_PART_MS));
    await expectSound();
  });

  it("leave a host running: connections that end before, in and after a head", async () => {
    await start();
    const texts = ["", "POST /read/x HT", `${renderHead("GET", "/read/x")}\r\n`];
    for (let round = 0; round < 20; round++) {
      const leaving = createCrowd({
        address: host.addresses.callers,
        connections: 300,
        begin: (index) => texts[index % texts.length] ?? "",
      });
      await new Promise((resolve) => setTimeout(resolve, 20 * (round % 5)));
      leaving.leave();
    }
    await expectSound();
  });

  it("leave a host running: upgrades, tunnels, expectations and trailers", async () => {
    await start();
    const trailers = renderShortLines(15_000);
    const texts = [
      `${renderHead("GET", "/read/x", ["Connection: Upgrade", "Upgrade: h2c"])}\r\n`.repeat(200),
      `${renderHead("CONNECT", "depots.example:80")}\r\n`.repeat(200),
      `${renderHead("POST", "/read/x", ["Expect: 100-continue", "Content-Length: 9"])}\r\n`,
      `${renderHead("POST", "/read/x", ["Expect: 200", "Content-Length: 9"])}\r\n`,
      `${renderHead("POST", "/read/x", ["Transfer-Encoding: chunked"])}\r\n0\r\n${trailers}`,
      "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n".repeat(2_000),
    ];
    await send({
      address: host.addresses.callers,
      connections: 600,
      begin: (index) => texts[index % texts.length] ?? "",
    });
    await expectSound();
  });

  it("end in its grace time: a host that is stopped while they send", async () => {
    await start();
    await send({
      address: host.addresses.callers,
      connections: 300,
      begin: (index) => index % 2 === 0 ? "" : renderHead("GET", "/read/x"),
      repeated: { text: SHORT_REQUEST, count: 20_000 },
    });
    expect(await host.stop(), host.readOutput().slice(-2_000)).to.equal(0);
  });
});

/** Changes the configuration: a route with large responses, and engines that run many streams. */
function buildLargeConfiguration(): Readonly<Record<string, unknown>> {
  const common = {
    ...{ host: "depots.example", priority: 1, max_attempts: 1, public: false },
    ...{ timeout_ms: 20_000, target_latency_ms: 1_000 },
  };
  const engine = {
    ...{ slots: 400, cache_tokens: 400_000, token_bytes: 131_072, link_mbps: 19_000 },
    ...{ moves: true, backups: true, stride: 4 },
  };
  return {
    routes: [
      { ...common, name: "read", prefix: "/read/", kind: "idempotent", service: "desk" },
      { ...common, name: "large", prefix: "/large/", kind: "idempotent", service: "large" },
      {
        ...{ ...common, name: "plan", prefix: "/plan/", kind: "streaming", service: "llm" },
        ...{ sticky_sessions: true, gap_target_ms: 180 },
      },
    ],
    services: [
      { name: "desk", max_connections: 100 },
      { name: "large", max_connections: 400 },
      { name: "llm", max_connections: 400, engine },
    ],
  };
}
