import type { PlacementStatus } from "../adapters/placement_status_schema.ts";

type Copy = PlacementStatus["copies"][number];

/** Creates the status of a copy that is ready and serves, for tests. */
export function createCopyStatus(model: string, version: string, fields: Partial<Copy> = {}): Copy {
  return {
    model,
    version,
    adapters: [],
    role: "mixed",
    state: "ready",
    isServing: true,
    ...fields,
  };
}
