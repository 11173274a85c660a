/** Operators' listener: state of this process, health and readiness. @module */
export { createOperatorServer } from "./create_operator_server.ts";
export type { OperatorServerOptions } from "./create_operator_server.ts";
export { createJournal } from "./create_journal.ts";
export type { JournalOptions } from "./create_journal.ts";
export { createProcessReporter } from "./create_process_reporter.ts";
export type { ProcessReporter, ProcessReporterOptions } from "./create_process_reporter.ts";
