import type { EventName } from "@crocussail/protocol";

/** Action that the settings agent requests; `createSettings` executes it. */
export type SettingsEffect =
  | { readonly type: "read" }
  | { readonly type: "probe" }
  | { readonly type: "openWatch"; readonly after: number }
  | { readonly type: "closeWatch" }
  | { readonly type: "ask"; readonly host: string }
  | {
    readonly type: "pull";
    readonly host: string;
    /** Whether to compare all paths by bucket hash; false if the peer has a higher revision. */
    readonly comparesAll: boolean;
    readonly after?: string;
  }
  | { readonly type: "offer"; readonly host: string }
  /** Notifies listeners that the active settings have changed. */
  | { readonly type: "notify" }
  | {
    readonly type: "log";
    readonly event: EventName;
    readonly fields: Readonly<Record<string, string | number>>;
  };
