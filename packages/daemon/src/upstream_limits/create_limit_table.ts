import type { Logger, Metrics } from "@crocussail/protocol";
import type { UpstreamRecord } from "../upstreams/mod.ts";
import type { LimitObservation } from "./limit_observation.ts";
import { mergeLimitObservations } from "./merge_limit_observations.ts";

/** An incarnation of an upstream. */
export type UpstreamIncarnation = Pick<UpstreamRecord, "id" | "startedAt">;

/** What this host knows of the limit of one incarnation of an upstream. */
export interface KnownLimit extends LimitObservation {
  readonly startedAt: number;
}

/** Options of {@link createLimitTable}. */
export interface LimitTableOptions {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Limits that upstreams name, by upstream; a later incarnation is free of those of an earlier one. */
export interface LimitTable {
  /**
   * Adds what a response says, to this host or to the one that `by` names; returns whether the limit
   * that this host knows has changed.
   */
  recordObservation(
    upstream: UpstreamIncarnation,
    observation: LimitObservation,
    by: string,
  ): boolean;
  /** Returns what is known of an incarnation; undefined if nothing is. */
  getObservation(upstream: UpstreamIncarnation): LimitObservation | undefined;
  /** Returns the requests a second that an incarnation takes; undefined without a limit. */
  getLimit(upstream: UpstreamIncarnation): number | undefined;
  /** Lists what is known by upstream. */
  listKnown(): (readonly [string, KnownLimit])[];
  /** Forgets the upstreams that are not known any more, which bounds the table. */
  prune(isKnown: (id: string) => boolean): void;
}

/** Creates an empty table. Each change of a limit is logged once. */
export function createLimitTable({ logger, metrics }: LimitTableOptions): LimitTable {
  const limits = new Map<string, KnownLimit>();
  const countLimited = () =>
    [...limits.values()].filter(({ perSecond }) => perSecond !== undefined).length;
  const getObservation = ({ id, startedAt }: UpstreamIncarnation) => {
    const known = limits.get(id);
    return known?.startedAt === startedAt ? known : undefined;
  };
  return {
    recordObservation: ({ id, startedAt }, observation, by) => {
      const former = limits.get(id);
      if (former !== undefined && former.startedAt > startedAt) {
        return false;
      }
      const known = former?.startedAt === startedAt ? former : undefined;
      const merged = known === undefined ? observation : mergeLimitObservations(known, observation);
      limits.set(id, { ...merged, startedAt });
      if (known?.perSecond === merged.perSecond) {
        return false;
      }
      merged.perSecond === undefined
        ? logger.writeEvent("upstreamLimitEnded", { upstream: id, by })
        : logger.writeEvent("upstreamLimitNamed", {
          upstream: id,
          perSecond: merged.perSecond,
          formerPerSecond: known?.perSecond ?? "none",
          by,
        });
      return true;
    },
    getObservation,
    getLimit: (upstream) => getObservation(upstream)?.perSecond,
    listKnown: () => [...limits],
    prune: (isKnown) => {
      [...limits.keys()].filter((id) => !isKnown(id)).forEach((id) => limits.delete(id));
      metrics.gauge("upstreams.limited", countLimited());
    },
  };
}
