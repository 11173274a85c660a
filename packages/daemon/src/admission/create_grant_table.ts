import type { Clock } from "@crocussail/protocol";
import type { AdmissionGrant, AdmissionOutcome } from "./admission.ts";
import type { AdmissionMessage, EntryMessage } from "./admission_message_schema.ts";
import { ADMISSION_LIMITS } from "./constants.ts";
import { ENTRY_CONVERSION } from "./entry_conversion.ts";
import type { CandidateView } from "./create_candidate_view.ts";
import type { QueueEntry } from "./queue_entry.ts";

/** Options of {@link createGrantTable}. */
export interface GrantTableOptions {
  readonly clock: Clock;
  readonly view: CandidateView;
  /** Sends to the current owner of an upstream. */
  readonly sendToOwner: (upstream: string, message: AdmissionMessage) => void;
}

/** Grants that this entry daemon holds. */
export interface GrantTable {
  createGrant(
    upstream: string,
    url: string,
    entry: QueueEntry,
    isSelfGranted: boolean,
  ): AdmissionGrant;
  /** Number of grants on an upstream that this daemon gave itself because no owner replied. */
  countSelfGranted(upstream: string): number;
  /** Reports every grant to the current owners, which renews the leases. */
  renewGrants(): void;
  /** Returns the complete entries of the `ids` still held, for an owner that does not know them. */
  listGrants(
    upstream: string,
    ids: readonly string[],
  ): { entry: EntryMessage; produced: number }[];
  countGrants(): number;
}

interface HeldGrant {
  readonly upstream: string;
  readonly entry: QueueEntry;
  readonly isSelfGranted: boolean;
  readonly grantedAtMs: number;
  produced: number;
  gapStartTokens: number;
  gapStartedAtMs: number;
}

/**
 * Creates the table. It needs no limit of its own, because the generations module limits the number
 * of streams and so of grants.
 */
export function createGrantTable(options: GrantTableOptions): GrantTable {
  const { clock, view, sendToOwner } = options;
  const heldGrants = new Map<string, HeldGrant>();

  const recordProgress = (grant: HeldGrant, produced: number) => {
    const nowMs = clock.readMonotonicMs();
    if (grant.produced === 0 && produced > 0) {
      view.latencies.recordFirstToken(grant.upstream, grant.entry.kind, nowMs - grant.grantedAtMs);
      grant.gapStartTokens = produced;
      grant.gapStartedAtMs = nowMs;
    }
    grant.produced = Math.max(grant.produced, produced);
  };

  const releaseGrant = (key: string, grant: HeldGrant, outcome: AdmissionOutcome) => {
    if (heldGrants.get(key) !== grant) {
      return;
    }
    heldGrants.delete(key);
    view.recordRelease(grant.upstream);
    const isComplete = outcome === "finished";
    if (isComplete) {
      view.lengths.recordLength(grant.entry, grant.produced, clock.readMonotonicMs());
    }
    sendToOwner(grant.upstream, {
      type: "release",
      upstream: grant.upstream,
      id: grant.entry.id,
      ...(isComplete ? { produced: grant.produced } : {}),
      isRefused: outcome === "notRun" || outcome === "lost",
    });
  };

  const recordGap = (grant: HeldGrant, nowMs: number) => {
    const fresh = grant.produced - grant.gapStartTokens;
    if (fresh > 0) {
      const gapMs = (nowMs - grant.gapStartedAtMs) / fresh;
      view.latencies.recordGap(grant.upstream, grant.entry.kind, gapMs);
      grant.gapStartTokens = grant.produced;
      grant.gapStartedAtMs = nowMs;
    }
  };

  return {
    createGrant: (upstream, url, entry, isSelfGranted) => {
      const nowMs = clock.readMonotonicMs();
      const grant: HeldGrant = {
        upstream,
        entry,
        isSelfGranted,
        grantedAtMs: nowMs,
        produced: 0,
        gapStartTokens: 0,
        gapStartedAtMs: nowMs,
      };
      const key = `${upstream}\0${entry.id}`;
      heldGrants.set(key, grant);
      view.recordGrant(upstream);
      return {
        upstream,
        url,
        recordTokens: (produced) => recordProgress(grant, produced),
        release: (outcome) => releaseGrant(key, grant, outcome),
      };
    },
    countSelfGranted: (upstream) =>
      [...heldGrants.values()]
        .filter((grant) => grant.isSelfGranted && grant.upstream === upstream).length,
    renewGrants: () => {
      const nowMs = clock.readMonotonicMs();
      const byUpstream = new Map<string, HeldGrant[]>();
      for (const grant of heldGrants.values()) {
        recordGap(grant, nowMs);
        const grants = byUpstream.get(grant.upstream) ?? [];
        grants.push(grant);
        byUpstream.set(grant.upstream, grants);
      }
      for (const [upstream, grants] of byUpstream) {
        for (let from = 0; from < grants.length; from += ADMISSION_LIMITS.maxRenewals) {
          const part = grants.slice(from, from + ADMISSION_LIMITS.maxRenewals);
          sendToOwner(upstream, {
            type: "renew",
            upstream,
            grants: part.map(({ entry, produced }) => [entry.id, produced]),
          });
        }
      }
    },
    listGrants: (upstream, ids) => {
      const nowMs = clock.readMonotonicMs();
      return ids.flatMap((id) => {
        const grant = heldGrants.get(`${upstream}\0${id}`);
        return grant === undefined ? [] : [{
          entry: ENTRY_CONVERSION.toMessage(grant.entry, nowMs),
          produced: grant.produced,
        }];
      });
    },
    countGrants: () => heldGrants.size,
  };
}
