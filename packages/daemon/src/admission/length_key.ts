/** What an output length is learned by. */
export interface LengthKey {
  readonly team: string;
  readonly kind: string;
  readonly model: string;
}
