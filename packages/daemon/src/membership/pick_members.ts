import type { Member, MembershipState } from "./membership_state.ts";

/** Picks up to `count` random members that satisfy the condition. */
export function pickMembers(
  state: MembershipState,
  count: number,
  isWanted: (member: Member) => boolean,
): string[] {
  const candidates = [...state.members.values()].filter(isWanted).map((member) => member.host);
  const picked: string[] = [];
  while (picked.length < count && candidates.length > 0) {
    const index = state.random.nextInteger(candidates.length);
    picked.push(...candidates.splice(index, 1));
  }
  return picked;
}
