import type { EventName } from "@crocussail/protocol";

/** What a decision of membership asks the edge to do. */
export type MembershipEffect =
  /** Send a heartbeat and report the reply. */
  | { readonly type: "probe"; readonly host: string }
  /** Ask a helper to probe a member and report a reply. */
  | { readonly type: "relay"; readonly helper: string; readonly target: string }
  /** Pull the whole view of a member and report it. */
  | { readonly type: "sync"; readonly host: string }
  | {
    readonly type: "event";
    readonly event: EventName;
    readonly fields: Readonly<Record<string, string | number>>;
  };
