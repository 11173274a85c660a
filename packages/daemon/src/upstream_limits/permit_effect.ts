/** What the owner of a limit answers to a request for a permit. */
export type PermitEffect =
  | { readonly type: "grant"; readonly key: string }
  /** It waits; a permit is expected after `expectedMs` if no more urgent request comes. */
  | { readonly type: "wait"; readonly key: string; readonly expectedMs: number }
  | {
    readonly type: "refuse";
    readonly key: string;
    /** Time until the first permit for which no request waits yet. */
    readonly freeInMs: number;
    /** Time after which the refused caller may return. */
    readonly retryAfterMs: number;
  };
