/**
 * Whether a request reached an upstream.
 * `no`: proven not run. `yes`: ran. `unknown`: may have run.
 */
export type RanState = "no" | "yes" | "unknown";
