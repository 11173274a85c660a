/** Admission of generations to engines. @module */
export type { Admission, AdmissionGrant, AdmissionOutcome, AdmissionRequest } from "./admission.ts";
export { createAdmission } from "./create_admission.ts";
export type { AdmissionOptions } from "./create_admission.ts";
