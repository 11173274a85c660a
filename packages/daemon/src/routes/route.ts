/**
 * How the route's service executes requests: `repeatable` allows retries after an execution, `once`
 * at most one execution, `stream` at most one execution with an event stream as the response.
 */
export type RequestKind = "repeatable" | "once" | "stream";

/** A service and its share of a route's requests. */
export interface ServiceShare {
  readonly service: string;
  /** Share relative to the route's other services. */
  readonly weight: number;
}

/** Route for requests to one host name whose path starts with `prefix`. */
export interface Route {
  readonly name: string;
  /** Value of the `Host` header, in lower case. */
  readonly hostName: string;
  /** Starts and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  readonly services: readonly ServiceShare[];
  /** Timeout of a request, in milliseconds. */
  readonly timeoutMs: number;
  /** Target latency of the response or the first event, in milliseconds. */
  readonly targetMs: number;
  /** Maximum upstreams that one request may be sent to. */
  readonly maxAttempts: number;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** Requests need no team key. */
  readonly isPublic: boolean;
  /** A stream of this route may be resumed at any engine after the last event received. */
  readonly isResumable: boolean;
}
