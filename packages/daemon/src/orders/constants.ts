/** Limits and timeouts of the orders slice. */
export const ORDER_LIMITS = {
  /** Number of replicas in a key prefix. */
  replicas: 3,
  /** Longest key with its prefix, in characters; a longer one is rejected as invalid. */
  maxKeyChars: 1_024,
  /** Time after which a replica advances its epoch, in milliseconds. */
  epochMs: 300_000,
  /** Epochs that a replica retains; a key of an older epoch is permanently expired. */
  retainedEpochs: 24,
  /** Records of one process over all duties; at the limit new keys are refused. */
  maxRecords: 100_000,
  /** Total size of the recorded bodies in one process, in bytes; a body above it is omitted. */
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
  /** Rounds in which a release or record is sent to the replicas that do not acknowledge it. */
  maxSends: 4,
  /** Upstreams tried for one call; the next one only if no byte of the call was written. */
  maxUpstreams: 3,
  /** Age above which claims are sent again before the dispatch, in milliseconds. */
  maxClaimAgeMs: 2_000,
  /** Rounds of claims in one attempt; a claimant that pauses in each of them gives up. */
  maxClaimRounds: 3,
  /** First and longest delay between two attempts while another claim holds the key, in ms. */
  pollDelayMs: 20,
  maxPollDelayMs: 500,
  /** Service calls running concurrently on one daemon; further ones are refused. */
  maxRunning: 5_000,
  /**
   * Entries in each of two caches: identities (incarnation and epoch) of hosts, and holders of
   * duties. At the limit the oldest entry is evicted.
   */
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
  /** How often a handover's commit message is sent to the successor that does not reply. */
  maxCommitSends: 5,
} as const;
