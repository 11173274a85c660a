import type { CONNECTION_LIMITS } from "./constants.ts";

/** Name of a listener of a host. */
export type ListenerName = keyof typeof CONNECTION_LIMITS.maxConnections;
