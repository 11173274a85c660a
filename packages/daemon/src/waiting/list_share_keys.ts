import type { WaitingRequest } from "./waiting_request.ts";

/** Lists the keys under which a request's tokens are counted, in the order of comparison. */
export function listShareKeys(
  { account, kind }: Pick<WaitingRequest, "account" | "kind">,
): readonly [string, string] {
  return [`account ${account}`, `kind ${kind}`];
}
