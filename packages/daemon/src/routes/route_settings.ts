import type { Route } from "./route.ts";

/** Limits and abilities of the engines of a service. */
export interface EngineLimits {
  /** Maximum concurrent generations. */
  readonly slots: number;
  /** KV cache capacity of one engine, in tokens. */
  readonly memoryTokens: number;
  /** The engines can migrate a running generation to another engine. */
  readonly canMove: boolean;
  /** The engines can keep a KV cache copy of a running generation on another engine. */
  readonly canBackUp: boolean;
  /** Tokens per event of a stream. */
  readonly tokensPerEvent: number;
}

/** A service that routes refer to. */
export interface ServiceSettings {
  readonly name: string;
  readonly engine: EngineLimits | undefined;
  /** Connections that an upstream accepts from all hosts together; it resets further ones. */
  readonly maxConnections: number;
  /**
   * Requests a second from all hosts together that an upstream withstands while it is cold; 0 for no
   * bound.
   */
  readonly coldPerSecond: number;
  /** Time after its start for which an upstream is cold, in milliseconds. */
  readonly coldStartMs: number;
}

/** A team that owns keys. */
export interface RouteTeam {
  readonly name: string;
  /** Overrides the priority of the route if set. */
  readonly priority: number | undefined;
}

/** Limits on the requests of a caller. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One complete published version of routes, services, teams and limits. */
export interface RouteSettings {
  readonly version: number;
  /** Routes by host name, then by prefix. */
  readonly routes: ReadonlyMap<string, ReadonlyMap<string, Route>>;
  readonly services: ReadonlyMap<string, ServiceSettings>;
  /** Teams by key; undefined if requests need no key. */
  readonly teams: ReadonlyMap<string, RouteTeam> | undefined;
  readonly limits: CallerLimits;
}
