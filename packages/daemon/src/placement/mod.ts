/** Placement of models, adapters, versions and roles on engines. @module */
export { computeWantedPlacement } from "./compute_wanted_placement.ts";
export { createPlacement } from "./create_placement.ts";
export type { Placement, PlacementOptions } from "./create_placement.ts";
export { createSlotOwnerState } from "./slot_owner_state.ts";
export { createSlotVoterState } from "./slot_voter_state.ts";
export { PLACEMENT_LIMITS } from "./constants.ts";
