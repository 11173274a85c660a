import type { ResultError, Timer } from "@crocussail/protocol";
import type { Either } from "purify-ts";
import type { AdmissionGrant, AdmissionRequest } from "./admission.ts";
import type { QueueEntry } from "./queue_entry.ts";

/** A request that waits at this entry daemon for a grant. */
export interface WaitingRequest {
  readonly request: AdmissionRequest;
  readonly entry: QueueEntry;
  /** Owner host of each upstream in whose queue the request has a place. */
  readonly places: Map<string, string>;
  readonly settle: (result: Either<ResultError, AdmissionGrant>) => void;
  /** True while requests to owners are in flight. */
  isRequesting: boolean;
  isSettled: boolean;
  timer: Timer | undefined;
}
