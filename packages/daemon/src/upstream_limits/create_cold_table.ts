import type { Clock } from "@crocussail/protocol";
import type { ColdTime } from "./cold_time.ts";
import { PERMIT_LIMITS } from "./constants.ts";
import type { UpstreamIncarnation } from "./create_limit_table.ts";

/** Options of {@link createColdTable}. */
export interface ColdTableOptions {
  readonly clock: Clock;
  /** Returns what this host itself knows of the cold time of an upstream; undefined if it is warm. */
  readonly getOwnCold: (upstreamId: string) => ColdTime | undefined;
  /** Lists the upstreams that are cold as far as this host itself knows. */
  readonly listOwnCold: () => UpstreamIncarnation[];
}

/** Cold times of upstreams: what this host knows, and what requests for permits have told it. */
export interface ColdTable {
  /** Returns the cold time of the incarnation that started last; undefined if none is cold. */
  findCold(upstreamId: string): ColdTime | undefined;
  /**
   * Returns the cold time of an incarnation or, as requests to it may reach that one, of a later one;
   * undefined if both are warm.
   */
  getCold(upstream: UpstreamIncarnation): ColdTime | undefined;
  /** Adds what a request for a permit says. */
  recordTold(upstreamId: string, cold: ColdTime): void;
  listCold(): UpstreamIncarnation[];
  /** Forgets cold times that are over. */
  prune(): void;
}

/** Creates an empty table. Of two cold times the later end and the smaller rate count. */
export function createColdTable(options: ColdTableOptions): ColdTable {
  const { clock } = options;
  const told = new Map<string, ColdTime>();
  const findTold = (id: string) => {
    const cold = told.get(id);
    return cold !== undefined && cold.untilMs > clock.readMonotonicMs() ? cold : undefined;
  };
  const findCold = (id: string) => mergeCold(options.getOwnCold(id), findTold(id));
  return {
    findCold,
    getCold: ({ id, startedAt }) => {
      const cold = findCold(id);
      return cold !== undefined && cold.startedAt >= startedAt ? cold : undefined;
    },
    recordTold: (id, cold) => {
      const limitMs = clock.readMonotonicMs() + PERMIT_LIMITS.maxToldColdMs;
      const limited = { ...cold, untilMs: Math.min(cold.untilMs, limitMs) };
      told.set(id, mergeCold(findTold(id), limited) ?? limited);
    },
    listCold: () => [
      ...options.listOwnCold(),
      ...[...told.keys()].flatMap((id) => {
        const cold = findTold(id);
        return cold === undefined ? [] : [{ id, startedAt: cold.startedAt }];
      }),
    ],
    prune: () =>
      [...told.keys()].filter((id) => findTold(id) === undefined).forEach((id) => told.delete(id)),
  };
}

function mergeCold(
  left: ColdTime | undefined,
  right: ColdTime | undefined,
): ColdTime | undefined {
  if (left === undefined || right === undefined) {
    return left ?? right;
  }
  if (left.startedAt !== right.startedAt) {
    return left.startedAt > right.startedAt ? left : right;
  }
  return {
    startedAt: left.startedAt,
    perSecond: Math.min(left.perSecond, right.perSecond),
    untilMs: Math.max(left.untilMs, right.untilMs),
  };
}
