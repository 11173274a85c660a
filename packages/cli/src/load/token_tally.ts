/** Counts of one stream's tokens by their ids `<resume token>:<index>`. */
export interface TokenTally {
  /** Resume token of the stream; set by its first event. */
  stream?: string;
  nextIndex: number;
  tokens: number;
  lost: number;
  doubled: number;
  outOfOrder: number;
  foreign: number;
}
