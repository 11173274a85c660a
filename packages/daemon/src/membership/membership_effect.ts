import type { EventName } from "@crocussail/protocol";

/** An action that a membership decision requests from the slice's I/O code. */
export type MembershipEffect =
  /** Send a heartbeat and apply the reply. */
  | { readonly type: "probe"; readonly host: string }
  /** Request a helper to probe a member, and apply its result. */
  | { readonly type: "relay"; readonly helper: string; readonly target: string }
  /** Pull the complete view of a member and apply it. */
  | { readonly type: "sync"; readonly host: string }
  | {
    readonly type: "event";
    readonly event: EventName;
    readonly fields: Readonly<Record<string, string | number>>;
  };
