/** Membership of the fleet as this daemon sees it. @module */
export { createMembership } from "./create_membership.ts";
export type { MembershipOptions } from "./create_membership.ts";
export type { HeartbeatRider, Membership, Notice } from "./membership.ts";
