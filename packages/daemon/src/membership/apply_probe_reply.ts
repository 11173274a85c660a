import type { MembershipState } from "./membership_state.ts";

/** Records that a member replied to a probe, either directly or through a helper. */
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
