/** Defaults of `crocussail load`. */
export const LOAD_DEFAULTS = {
  service: "stock",
  orderPath: "/bookings",
  readPath: "/stock",
  kind: "default",
  mix: "chat=8,order=1,read=1",
  requests: 100,
  seconds: 60,
  concurrency: 8,
  maxTokens: 256,
  seed: 1,
  resumeShare: 0.1,
  stallMs: 5_000,
  deadlineMs: 60_000,
} as const;
