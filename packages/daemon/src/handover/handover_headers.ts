/** Headers between hosts, in lower case. Callers and upstreams see none of them. */
export const HANDOVER_HEADERS = {
  /** Fields of the request and their signature. */
  request: "crocussail-handover",
  /** Signature of the response. */
  response: "crocussail-handover-response",
  /** Result code of a response that the other host created itself. */
  refusal: "crocussail-handover-refusal",
} as const;
