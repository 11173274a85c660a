import { expect } from "chai";
import { createServer } from "node:http";
import type { ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { DeploymentDialect } from "../adapters/deployment_dialect.ts";
import type { CallerReply } from "./caller_reply.ts";
import { createCallerReply } from "./create_caller_reply.ts";

const UNSENDABLE_TEXT = "\ufffdK";

/** Runs `use` on the reply to one request; returns the status that its caller receives. */
async function sendReply(use: (reply: CallerReply) => void): Promise<number> {
  const server = createServer((_request, response: ServerResponse) =>
    use(createCallerReply({
      recordWritten: () => {},
      response,
      dialect: { encodeRetryAdvice: () => [] } as Partial<DeploymentDialect> as DeploymentDialect,
      isLeaving: () => false,
      recordRefusal: () => {},
    }))
  );
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const { status } = await fetch(`http://127.0.0.1:${port}/`);
  server.close();
  return status;
}

describe("a reply whose head cannot be sent", () => {
  const attempts: Readonly<Record<string, (reply: CallerReply) => void>> = {
    "a response": (reply) => reply.sendResponse(200, UNSENDABLE_TEXT, [], new Uint8Array()),
    "a stream": (reply) => reply.startStream(200, UNSENDABLE_TEXT, []),
    "a header": (reply) => reply.sendResponse(200, "OK", ["A", "\u0000"], new Uint8Array()),
  };
  for (const [title, attempt] of Object.entries(attempts)) {
    it(`has not ended, and can be a refusal: ${title}`, async () => {
      const status = await sendReply((reply) => {
        expect(() => attempt(reply)).to.throw();
        expect([reply.hasEnded(), reply.hasStarted()]).to.deep.equal([false, false]);
        reply.refuse("outcomeUnknown", "the response could not be sent");
        expect(reply.hasEnded()).to.equal(true);
      });
      expect(status).to.equal(502);
    });
  }
});
