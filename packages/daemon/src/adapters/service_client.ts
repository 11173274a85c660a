import type { ResultError } from "@crocussail/protocol";
import type { Either } from "purify-ts";

/** A call to a plain service. */
export interface ServiceRequest {
  readonly method: string;
  /** Path and query below the service's base URL, beginning with `/`. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
}

/** Response of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** A plain service. */
export interface ServiceClient {
  /**
   * Sends one call on a new connection. A left value with `ran: "no"` proves that no byte of the
   * call was written; with `ran: "unknown"` the service may have executed it.
   */
  callService(url: string, request: ServiceRequest): Promise<Either<ResultError, ServiceResponse>>;
}
