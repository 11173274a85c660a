/** Duty of a replica: the keys whose prefix contains one incarnation (process start). */
export interface ReplicaDuty {
  readonly incarnation: string;
  /** Current epoch; keys of later epochs cannot exist. */
  readonly epoch: number;
  /** Oldest epoch whose records are retained. */
  readonly oldestEpoch: number;
  /** True from the start of a handover on: nothing more is granted or stored. */
  readonly isFrozen: boolean;
  /** True when the table is at its limit: no record is added. */
  readonly isFull: boolean;
}
