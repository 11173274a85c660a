import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createHttpEngineClient } from "./create_http_engine_client.ts";
import { testEngineClientContract } from "./engine_client_contract_test.ts";
import type { EngineBehaviour, EngineContractSetup } from "./engine_client_contract_test.ts";

const MAX_EVENT_LENGTH = 1_000;
const EVENTS = [0, 1, 2]
  .map((index) => JSON.stringify({ generation: "g1", index, token: `t${index}` }))
  .concat(JSON.stringify({ generation: "g1", index: 3, finish: "stop" }))
  .map((data) => `data: ${data}\n\n`);

function answerRequest(
  behaviour: EngineBehaviour,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const from = Number(/from=(\d+)/.exec(request.url ?? "")?.[1] ?? 0);
  const firstTwo = EVENTS.slice(0, 2).join("");
  switch (behaviour) {
    case "serve":
      response.end(`: comment\n\n${EVENTS.slice(from).join("")}`);
      return;
    case "refuse":
      response.writeHead(503).end("leaving");
      return;
    case "unknownGeneration":
      response.writeHead(404).end("unknown");
      return;
    case "closeBeforeResponse":
      response.destroy();
      return;
    case "closeAfterTwoEvents":
      response.write(`${firstTwo}data: {"generation":"g1","ind`, () => response.destroy());
      return;
    case "malformedAfterTwoEvents":
      response.write(`${firstTwo}data: {"generation":"g1","index":-2,"token":"x"}\n\n`);
      return;
    case "oversizedAfterTwoEvents":
      response.write(`${firstTwo}data: ${"x".repeat(MAX_EVENT_LENGTH + 1)}`);
      return;
    case "endWithoutFinish":
      response.end(firstTwo);
      return;
    case "headersOnly":
      response.flushHeaders();
  }
}

async function createSetup(): Promise<EngineContractSetup> {
  let behaviour: EngineBehaviour = "serve";
  const server = createServer((request, response) => {
    request.resume();
    answerRequest(behaviour, request, response);
  });
  const closedServer = createServer();
  const listen = (target: typeof server) =>
    new Promise<string>((resolve) =>
      target.listen(
        0,
        "127.0.0.1",
        () => resolve(`http://127.0.0.1:${(target.address() as AddressInfo).port}`),
      )
    );
  const url = await listen(server);
  const unreachableUrl = await listen(closedServer);
  await new Promise((resolve) => closedServer.close(resolve));
  return {
    client: createHttpEngineClient({ maxEventLength: MAX_EVENT_LENGTH }),
    url,
    unreachableUrl,
    setBehaviour: (next) => {
      behaviour = next;
    },
    close: async () => {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

testEngineClientContract("HTTP", createSetup);
