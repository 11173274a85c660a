/** Key by which output lengths are learned. */
export interface LengthKey {
  readonly team: string;
  readonly kind: string;
  readonly model: string;
}
