/** Number of slots into which the window of a retry budget is divided. */
export const SLOTS_PER_WINDOW = 10;
