/** Part of a host's size that is left at each level of load, from idle to saturated. */
export const CAPACITY_FACTORS = [1, 0.75, 0.5, 0.25, 0.1] as const;
