import type { MemberUpdate } from "./member_update.ts";

/** Builds the update that is sent to peers for a record. */
export function buildMemberUpdate(record: MemberUpdate): MemberUpdate {
  const { id, incarnation, counter, status } = record;
  return { id, incarnation, counter, status };
}
