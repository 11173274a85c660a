import type { PublishedBatch } from "../adapters/settings_source.ts";
import type { SettingsDigest } from "./settings_digest_schema.ts";
import type { SettingsPage } from "./settings_page_schema.ts";

/** Input of the settings agent. */
export type SettingsEvent =
  | {
    readonly type: "tick";
    /** Live hosts of the same data centre, this one included. */
    readonly neighbours: readonly string[];
    /** Peers from which digests may be requested: live hosts and seeds, without this host. */
    readonly peers: readonly string[];
  }
  | { readonly type: "peerDigest"; readonly from: string; readonly digest: SettingsDigest }
  | { readonly type: "askFailed"; readonly from: string }
  | { readonly type: "pageReceived"; readonly from: string; readonly page: SettingsPage }
  | { readonly type: "pullFailed"; readonly from: string }
  | { readonly type: "readAnswered"; readonly batch: PublishedBatch }
  | { readonly type: "readFailed"; readonly detail: string }
  | { readonly type: "probeAnswered"; readonly revision: number }
  | { readonly type: "probeFailed"; readonly detail: string }
  | { readonly type: "watchBatch"; readonly batch: PublishedBatch }
  | { readonly type: "watchEnded"; readonly detail: string; readonly isCompacted: boolean };
