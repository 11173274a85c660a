import type { MembershipState } from "./membership_state.ts";

/** Notes that a member answered a probe, itself or through a helper. */
export function applyProbeReply(
  state: MembershipState,
  host: string,
  way: "direct" | "helper",
): void {
  const member = state.members.get(host);
  state.probes.delete(host);
  if (member !== undefined) {
    member.isIndirect = way === "helper";
  }
}
