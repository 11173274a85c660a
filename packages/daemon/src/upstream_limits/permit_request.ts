/** A request for a permit, as the owner of the limit handles it. */
export interface PermitRequest {
  /** Identifies the request in the fleet. */
  readonly key: string;
  /** Priority; the lowest number is first. */
  readonly priority: number;
  /** Time for which it may wait behind others, in milliseconds. */
  readonly waitMs: number;
  /** Time for which it may wait in one of the first places, in milliseconds. */
  readonly patientMs: number;
}
