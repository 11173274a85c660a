/** Entry: the response that lists the hosts for a caller to use. @module */
export { createEntry } from "./create_entry.ts";
export type { Entry, EntryOptions } from "./create_entry.ts";
export { decideEntry } from "./decide_entry.ts";
export type { EntryCandidate, EntryChoice } from "./decide_entry.ts";
