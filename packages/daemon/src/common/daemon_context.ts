import type { Clock, Logger, Metrics, RandomSource } from "@crocussail/protocol";
import type { ResolvedDaemonConfig } from "../config/mod.ts";
import type { Journal } from "./journal.ts";
import type { PeerTransport } from "../peers/mod.ts";

/** Dependencies that every module of a daemon receives. */
export interface DaemonContext {
  readonly config: ResolvedDaemonConfig;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly peers: PeerTransport;
  readonly journal: Journal;
  /** Random id of this process; a restarted process has a different one. */
  readonly incarnation: string;
}
