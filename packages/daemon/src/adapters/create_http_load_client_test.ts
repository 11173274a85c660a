import { createServer } from "node:http";
import type { ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createHttpLoadClient } from "./create_http_load_client.ts";
import { testLoadClient } from "./load_client_contract_test.ts";
import type { ContractEngine, LoadResponse } from "./load_client_contract_test.ts";

const LOAD = {
  running: 3,
  waiting: 0,
  used_tokens: 10,
  capacity_tokens: 100,
  preemptions: 0,
  leaving: false,
};
const EVENT = { sequence: 8, type: "stored", prefix: "p" };
const LARGE_BYTES = 3 * 1024 * 1024;

const ANSWERS: Readonly<Record<LoadResponse, (url: string, response: ServerResponse) => void>> = {
  valid: (url, response) => {
    const isCacheEventsRequest = url === "/v1/cache-events?after=7";
    response.end(JSON.stringify(isCacheEventsRequest ? { events: [EVENT] } : LOAD));
  },
  wrongTypes: (_url, response) => response.end('{"running":"many","events":{}}'),
  notJson: (_url, response) => response.end("<html>"),
  error: (_url, response) => {
    response.statusCode = 500;
    response.end(JSON.stringify({ ...LOAD, events: [] }));
  },
  tooLarge: (_url, response) => {
    response.end(JSON.stringify({ ...LOAD, events: [], padding: "x".repeat(LARGE_BYTES) }));
  },
  closed: (_url, response) => response.destroy(),
};

async function startEngine(answer: LoadResponse): Promise<ContractEngine> {
  const server = createServer((request, response) => ANSWERS[answer](request.url ?? "", response));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    close: () =>
      new Promise((resolve) => {
        server.closeAllConnections();
        server.close(() => resolve());
      }),
  };
}

testLoadClient({ name: "HTTP", createClient: createHttpLoadClient, startEngine });
