/** One frame on a peer connection after the handshake. */
export type PeerFrame =
  | { readonly type: "message"; readonly channel: string; readonly body: unknown }
  | {
    readonly type: "request";
    readonly channel: string;
    readonly id: number;
    readonly body: unknown;
  }
  | { readonly type: "reply"; readonly id: number; readonly body: unknown }
  | { readonly type: "failure"; readonly id: number; readonly detail: string };
