/** Self-reported record that an upstream publishes. */
export interface UpstreamRecord {
  readonly id: string;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly dataCentre: string;
  /** Maximum concurrent requests. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Duration of the slow start, in milliseconds. */
  readonly slowForMs: number;
  /** Unix time of its start, in milliseconds; identifies an incarnation under the same id. */
  readonly startedAt: number;
  /** Number of the write by this incarnation; 0 when another host reported the record. */
  readonly sequence: number;
}
