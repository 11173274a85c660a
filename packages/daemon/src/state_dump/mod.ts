/** Operators' listener: state of this process, health and readiness. @module */
export { createStateDump } from "./create_state_dump.ts";
export type { StateDumpOptions } from "./create_state_dump.ts";
export { createJournal } from "./create_journal.ts";
export type { JournalOptions } from "./create_journal.ts";
export { createProcessReporter } from "./create_process_reporter.ts";
export type { ProcessReporter, ProcessReporterOptions } from "./create_process_reporter.ts";
