import type { LoadReport } from "./load_report.ts";
import type { QueueEntry } from "./queue_entry.ts";

/** What an owner reacts to. */
export type OwnerEvent =
  /** An entry daemon wants a place; asking again keeps the place in the queue. */
  | { readonly type: "ask"; readonly entry: QueueEntry }
  /** The request no longer waits here. */
  | { readonly type: "withdraw"; readonly id: string }
  /** An entry daemon reports tokens of a grant and so renews its lease. */
  | { readonly type: "tokens"; readonly id: string; readonly produced: number }
  /** A grant given by an earlier owner or by an entry daemon's local share. */
  | { readonly type: "adopt"; readonly entry: QueueEntry; readonly produced: number }
  /** A grant ended; `produced` is set when the answer was complete. */
  | { readonly type: "release"; readonly id: string; readonly produced?: number }
  | { readonly type: "report"; readonly report: LoadReport }
  /** Any sign that the upstream takes no new work. */
  | { readonly type: "leave" }
  /** The upstream is live again. */
  | { readonly type: "return" }
  | { readonly type: "tick" };
