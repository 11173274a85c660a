import type { MemberUpdate } from "./member_update.ts";

/** Builds what is passed on of a record. */
export function buildMemberUpdate(record: MemberUpdate): MemberUpdate {
  const { id, incarnation, counter, status } = record;
  return { id, incarnation, counter, status };
}
