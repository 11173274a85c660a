import type { EventName } from "@crocussail/protocol";

/** What the settings slice asks its edge to do. */
export type SettingsEffect =
  | { readonly type: "read" }
  | { readonly type: "probe" }
  | { readonly type: "openWatch"; readonly after: number }
  | { readonly type: "closeWatch" }
  | { readonly type: "ask"; readonly host: string }
  | {
    readonly type: "pull";
    readonly host: string;
    /** Whether to compare all paths; left out where the peer holds a higher revision. */
    readonly comparesAll: boolean;
    readonly after?: string;
  }
  | { readonly type: "offer"; readonly host: string }
  /** Other settings are in force. */
  | { readonly type: "notify" }
  | {
    readonly type: "log";
    readonly event: EventName;
    readonly fields: Readonly<Record<string, string | number>>;
  };
