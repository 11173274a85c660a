/** What a replica answers for: the keys that name one process start. */
export interface ReplicaDuty {
  readonly incarnation: string;
  /** Current epoch; keys of later ones cannot exist. */
  readonly epoch: number;
  /** Oldest epoch still remembered. */
  readonly oldestEpoch: number;
  /** True from the start of a handover on; nothing is granted or stored any more. */
  readonly isFrozen: boolean;
  /** True at the bound of the table: no record is added. */
  readonly isFull: boolean;
}
