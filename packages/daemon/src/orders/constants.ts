/** Limits and timeouts of the orders slice. */
export const ORDER_LIMITS = {
  /** Replicas that a key prefix names. */
  replicas: 3,
  /** Longest key with its prefix, in characters; a longer one is rejected as invalid. */
  maxKeyChars: 1_024,
  /** Time after which a replica advances its epoch, in milliseconds. */
  epochMs: 300_000,
  /** Epochs that a replica retains; a key of an older epoch is permanently expired. */
  retainedEpochs: 24,
  /** Records of one process over all duties; at the limit new keys are refused. */
  maxRecords: 100_000,
  /** Bodies of recorded outcomes in one process, in bytes; above it bodies are omitted. */
  maxOutcomeBytes: 32 * 1024 * 1024,
  /** Largest body of one recorded outcome, in bytes; a larger one is omitted. */
  maxRecordedBodyBytes: 64 * 1024,
  /** Largest response of a service, in bytes. */
  maxAnswerBytes: 8 * 1024 * 1024,
  /** Withdrawn claims stored for each key; at the limit the oldest is dropped. */
  maxWithdrawnClaims: 16,
  /** Timeout of one round of messages to the replicas, in milliseconds. */
  roundTimeoutMs: 1_000,
  /** Longest wait for an outcome to be recorded before the caller receives it, in milliseconds. */
  recordTimeoutMs: 500,
  /** Sends of a release or record to a replica that does not acknowledge. */
  maxSends: 4,
  /** Upstreams tried when connections are refused. */
  maxUpstreams: 3,
  /** Age of a claim above which its grants are requested again before the dispatch, in ms. */
  maxClaimAgeMs: 2_000,
  /** Rounds of claims in one attempt; a claimant that pauses in each of them gives up. */
  maxClaimRounds: 3,
  /** First and longest delay between two attempts while another claim holds the key, in ms. */
  pollDelayMs: 20,
  maxPollDelayMs: 500,
  /** Service calls running concurrently on one daemon; further ones are refused. */
  maxRunning: 5_000,
  /** Hosts whose incarnation and epoch are cached; at the limit the oldest entry is dropped. */
  maxKnownReplicas: 1_024,
  /** Age above which a cached incarnation and epoch are fetched again, in milliseconds. */
  maxIdentityAgeMs: 15_000,
  /** Longest wait for a fresh membership view after a start or pause, in milliseconds. */
  viewWaitMs: 6_000,
  /** Duties of one process, the local one included; at the limit a handover is refused. */
  maxDuties: 64,
  /** Records in one frame of a handover. */
  transferRecords: 200,
  /** Bytes of outcome bodies in one frame of a handover. */
  transferBytes: 1024 * 1024,
  /** Timeout of one frame of a handover, in milliseconds. */
  transferTimeoutMs: 2_000,
  /** Sends of a handover's commit message to its successor. */
  maxCommitSends: 5,
} as const;
