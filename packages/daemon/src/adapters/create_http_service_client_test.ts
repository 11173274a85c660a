import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createHttpServiceClient } from "./create_http_service_client.ts";
import { testServiceClient } from "./service_client_contract_test.ts";
import type { ContractService, ServiceFault } from "./service_client_contract_test.ts";

const RESET_DELAY_MS = 20;

async function startService(fault: ServiceFault): Promise<ContractService> {
  let calls = 0;
  const server = createServer((request, response) => {
    calls++;
    let body = "";
    request.on("data", (chunk) => body += chunk);
    request.on("end", () => answerCall(fault, request, response, body));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const close = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  if (fault === "refuse") {
    await close();
  }
  return { url: `http://127.0.0.1:${port}`, countCalls: () => calls, close };
}

function answerCall(
  fault: ServiceFault,
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
): void {
  switch (fault) {
    case "closeBeforeResponse":
      response.destroy();
      break;
    case "closeInBody":
      response.writeHead(201, { "content-length": "100" });
      response.write("part", () => response.destroy());
      break;
    case "resetInBodyWithoutLength":
      response.socket?.write("HTTP/1.1 201 Created\r\n\r\npart");
      setTimeout(() => response.socket?.resetAndDestroy(), RESET_DELAY_MS);
      break;
    case "hang":
      break;
    case "hangInBody":
      response.writeHead(201, { "content-length": "100" });
      response.write("part");
      break;
    case "largeBody":
      response.writeHead(201).end("x".repeat(2_000));
      break;
    case "garbage":
      response.socket?.end("not an HTTP response\r\n\r\n");
      break;
    case "error":
      response.writeHead(500).end("failed");
      break;
    default:
      response.writeHead(201, { "content-type": "text/plain", location: "/b/1", "x-inner": "1" });
      response.end(`${request.method} ${request.url} ${body}`);
  }
}

testServiceClient({
  name: "HTTP",
  createClient: () => createHttpServiceClient({ maxAnswerBytes: 1_000 }),
  startService,
});
