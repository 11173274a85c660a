import { expect } from "chai";
import { Buffer } from "node:buffer";
import type { ServiceClient, ServiceRequest } from "./service_client.ts";

/** How a service handles a call; `none` is the normal response, all others are injected faults. */
export type ServiceFault =
  | "none"
  | "error"
  | "refuse"
  | "closeBeforeResponse"
  | "closeInBody"
  | "resetInBodyWithoutLength"
  | "hang"
  | "hangInBody"
  | "largeBody"
  | "garbage";

/** A service with an injected fault; counts the calls from which it received bytes. */
export interface ContractService {
  readonly url: string;
  countCalls(): number;
  close(): Promise<void>;
}

/** Options of {@link testServiceClient}. */
export interface ServiceContractOptions {
  readonly name: string;
  /** Creates the client with a limit of 1,000 bytes for a response. */
  readonly createClient: () => ServiceClient;
  readonly startService: (fault: ServiceFault) => Promise<ContractService>;
}

const CALL: ServiceRequest = {
  method: "POST",
  path: "/bookings?depot=7",
  headers: { "content-type": "application/json" },
  body: Buffer.from("{}"),
  timeoutMs: 200,
};

/** Registers the tests that every implementation of {@link ServiceClient} must pass. */
export function testServiceClient(options: ServiceContractOptions): void {
  describe(`service client contract: ${options.name}`, () => {
    let service: ContractService;

    const callService = async (fault: ServiceFault) => {
      service = await options.startService(fault);
      return options.createClient().callService(service.url, CALL);
    };

    afterEach(() => service.close());

    it("returns the status, the body and the headers that callers need", async () => {
      const answer = (await callService("none")).unsafeCoerce();
      expect(answer.status).to.equal(201);
      expect(Buffer.from(answer.body).toString()).to.equal("POST /bookings?depot=7 {}");
      expect(answer.headers).to.deep.equal({ "content-type": "text/plain", location: "/b/1" });
    });

    it("returns an error response of the service", async () => {
      expect((await callService("error")).unsafeCoerce().status).to.equal(500);
    });

    const table: [ServiceFault, "no" | "unknown", number][] = [
      ["refuse", "no", 0],
      ["closeBeforeResponse", "unknown", 1],
      ["closeInBody", "unknown", 1],
      ["resetInBodyWithoutLength", "unknown", 1],
      ["hang", "unknown", 1],
      ["hangInBody", "unknown", 1],
      ["largeBody", "unknown", 1],
      ["garbage", "unknown", 1],
    ];
    for (const [fault, ran, calls] of table) {
      it(`reports ran "${ran}" after ${fault} and sends the call at most once`, async () => {
        const error = (await callService(fault)).swap().unsafeCoerce();
        expect(error.ran).to.equal(ran);
        expect(service.countCalls()).to.equal(calls);
      });
    }
  });
}
