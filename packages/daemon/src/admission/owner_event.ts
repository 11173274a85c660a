import type { LoadReport } from "./load_report.ts";
import type { QueueEntry } from "./queue_entry.ts";

/** An event that an owner handles. */
export type OwnerEvent =
  /** An entry daemon requests a place; a repeated request keeps its place in the queue. */
  | { readonly type: "ask"; readonly entry: QueueEntry }
  /** The request no longer waits in this owner's queue. */
  | { readonly type: "withdraw"; readonly id: string }
  /** An entry daemon reports the tokens produced under a grant, which renews the lease. */
  | { readonly type: "tokens"; readonly id: string; readonly produced: number }
  /** A grant given by an earlier owner, or by an entry daemon to itself. */
  | { readonly type: "adopt"; readonly entry: QueueEntry; readonly produced: number }
  /** A grant ended; `produced` is set when the response was complete. */
  | { readonly type: "release"; readonly id: string; readonly produced?: number }
  | { readonly type: "report"; readonly report: LoadReport }
  /** The upstream accepts no new requests, whichever source reported this. */
  | { readonly type: "leave" }
  /** The upstream accepts requests again. */
  | { readonly type: "drainEnded" }
  | { readonly type: "tick" };
