/** Facts read from the header of an upstream's response. */
export interface AnswerHead {
  readonly requestId: string | undefined;
  readonly isSigned: boolean;
  /** The upstream states that it did not execute the request. */
  readonly hasNotExecuted: boolean;
  /** The body has a content encoding that the caller did not request. */
  readonly isEncoded: boolean;
}
