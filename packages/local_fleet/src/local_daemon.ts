import type { Daemon, DaemonPorts } from "@crocussail/daemon";

/** One daemon of a local fleet. */
export interface LocalDaemon {
  readonly daemon: Daemon;
  readonly ports: DaemonPorts;
  /** Base URL for callers. */
  readonly url: string;
}
