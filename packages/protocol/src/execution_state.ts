/**
 * Whether an upstream executed a request.
 * `no`: certainly not executed. `yes`: executed. `unknown`: may have been executed.
 */
export type ExecutionState = "no" | "yes" | "unknown";
