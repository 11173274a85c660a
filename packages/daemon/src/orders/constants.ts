/** Limits and times of the orders slice. */
export const ORDER_LIMITS = {
  /** Replicas that a key prefix names. */
  replicas: 3,
  /** Longest key with its prefix, in characters; a longer one is refused as not valid. */
  maxKeyChars: 1_024,
  /** Time after which a replica advances its epoch, in milliseconds. */
  epochMs: 300_000,
  /** Epochs that a replica keeps; a key of an older one is expired for good. */
  retainedEpochs: 24,
  /** Records of one process over all duties; at the bound new keys are refused. */
  maxRecords: 100_000,
  /** Bodies of recorded outcomes in one process, in bytes; above it bodies are omitted. */
  maxOutcomeBytes: 32 * 1024 * 1024,
  /** Largest body of one recorded outcome, in bytes; a larger one is omitted. */
  maxRecordedBodyBytes: 64 * 1024,
  /** Largest answer of a service, in bytes. */
  maxAnswerBytes: 8 * 1024 * 1024,
  /** Withdrawn claims remembered for each key; the oldest is forgotten at the bound. */
  maxWithdrawnClaims: 16,
  /** Time for one round to the replicas, in milliseconds. */
  roundTimeoutMs: 1_000,
  /** Longest wait for the record of an outcome before the caller gets it, in milliseconds. */
  recordTimeoutMs: 500,
  /** Sends of a release or record to a replica that does not acknowledge. */
  maxSends: 4,
  /** Upstreams tried when connections are refused. */
  maxUpstreams: 3,
  /** Age of a claim from which its grants are asked for again before the dispatch, in ms. */
  maxClaimAgeMs: 2_000,
  /** Rounds of claims of one attempt; a claimant that pauses in each of them gives up. */
  maxClaimRounds: 3,
  /** First and longest delay between two attempts while another claim holds the key, in ms. */
  pollDelayMs: 20,
  maxPollDelayMs: 500,
  /** Calls of services running at once on one daemon; more are refused. */
  maxRunning: 5_000,
  /** Hosts whose incarnation and epoch are remembered; at the bound the oldest is forgotten. */
  maxKnownReplicas: 1_024,
  /** Age from which a remembered incarnation and epoch are asked for again, in milliseconds. */
  maxIdentityAgeMs: 15_000,
  /** Longest wait of an order for a fresh view after a start or pause, in milliseconds. */
  viewWaitMs: 6_000,
  /** Adopted duties of predecessors; at the bound a handover is refused. */
  maxDuties: 64,
  /** Records in one frame of a handover. */
  transferRecords: 200,
  /** Bytes of outcome bodies in one frame of a handover. */
  transferBytes: 1024 * 1024,
  /** Time for one frame of a handover, in milliseconds. */
  transferTimeoutMs: 2_000,
  /** Sends of a handover's last message to its successor. */
  maxCommitSends: 5,
} as const;
