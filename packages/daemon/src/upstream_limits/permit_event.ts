import type { WaitingRequest } from "./permit_state.ts";

/** An event that the owner of a limit handles. */
export type PermitEvent =
  /** A request for a permit; a repeated one keeps its place. */
  | { readonly type: "request"; readonly request: WaitingRequest }
  /** The request no longer waits. */
  | { readonly type: "cancel"; readonly key: string }
  | { readonly type: "tick" };
