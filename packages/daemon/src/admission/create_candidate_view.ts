import type { SettingsView } from "../settings/mod.ts";
import type { AdmissionRequest } from "./admission.ts";
import type { Candidate } from "./candidate.ts";
import type { OwnerWaits } from "./compute_owner_waits.ts";
import { ADMISSION_LIMITS } from "./constants.ts";
import type { LeavingList } from "./create_leaving_list.ts";
import { createLengthPredictor } from "./create_length_predictor.ts";
import { createPrefixIndex } from "./create_prefix_index.ts";
import type { PrefixIndex } from "./create_prefix_index.ts";
import { createLatencyTable } from "./create_latency_table.ts";
import type { LatencyTable } from "./create_latency_table.ts";
import type { LengthPredictor } from "./length_predictor.ts";

/** Data by which the daemon that a caller connected to ranks the upstreams. */
export interface CandidateView {
  readonly latencies: LatencyTable;
  readonly prefixes: PrefixIndex;
  readonly lengths: LengthPredictor;
  recordWaits(upstream: string, waits: OwnerWaits, nowMs: number): void;
  recordGrant(upstream: string): void;
  recordRelease(upstream: string): void;
  getInFlight(upstream: string): number;
  /** Lists the live engines that may take a request, regardless of their load. */
  listCandidates(request: AdmissionRequest, urgency: number, nowMs: number): Candidate[];
}

interface UpstreamRecord {
  waits: OwnerWaits;
  /** Time of the last report of `waits`; 0 before the first. */
  waitsUpdatedMs: number;
  inFlight: number;
  /** Number of grants so far. */
  choices: number;
}

/**
 * Creates the view. A change of the settings removes the records of upstreams that are no longer
 * published and have no grants, so the view needs no limit of its own.
 */
export function createCandidateView(
  options: { readonly settings: SettingsView; readonly leaving: LeavingList },
): CandidateView {
  const { settings, leaving } = options;
  const known = new Map<string, UpstreamRecord>();
  const latencies = createLatencyTable();
  const prefixes = createPrefixIndex();
  const lengths = createLengthPredictor();

  const getRecord = (upstream: string): UpstreamRecord => {
    const record = known.get(upstream) ??
      { waits: { urgentMs: 0, otherMs: 0 }, waitsUpdatedMs: 0, inFlight: 0, choices: 0 };
    known.set(upstream, record);
    return record;
  };
  const pruneRecords = () => {
    for (const [upstream, { inFlight }] of known) {
      if (inFlight === 0 && !settings.getUpstreams().has(upstream)) {
        known.delete(upstream);
      }
    }
  };
  settings.subscribe(pruneRecords);

  const createCandidate = (
    upstream: string,
    request: AdmissionRequest,
    urgency: number,
    nowMs: number,
  ): Candidate => {
    const { waits, waitsUpdatedMs, inFlight, choices } = getRecord(upstream);
    return {
      upstream,
      inFlight,
      waitMs: urgency <= ADMISSION_LIMITS.urgentClass ? waits.urgentMs : waits.otherMs,
      firstTokenMs: latencies.estimateFirstTokenMs(upstream, request.kind),
      gapMs: latencies.estimateGapMs(upstream, request.kind),
      hitProbability: prefixes.estimateHitProbability(request.prefixKey, upstream, nowMs),
      // Without a report yet, the age adds nothing to the expected time.
      ageMs: waitsUpdatedMs === 0 ? 0 : nowMs - waitsUpdatedMs,
      remainingTokens: lengths.predictRemaining({ ...request, produced: 0 }),
      choices,
    };
  };

  return {
    latencies,
    prefixes,
    lengths,
    recordWaits: (upstream, waits, nowMs) => {
      Object.assign(getRecord(upstream), { waits, waitsUpdatedMs: nowMs });
    },
    recordGrant: (upstream) => {
      const record = getRecord(upstream);
      record.inFlight += 1;
      record.choices += 1;
    },
    recordRelease: (upstream) => {
      getRecord(upstream).inFlight -= 1;
    },
    getInFlight: (upstream) => known.get(upstream)?.inFlight ?? 0,
    listCandidates: (request, urgency, nowMs) =>
      [...settings.getUpstreams()]
        .filter(([name, upstream]) =>
          upstream.kind === "engine" && upstream.state === "live" &&
          (upstream.models ?? []).includes(request.model) && !request.excluded.has(name) &&
          !leaving.isLeaving(name, nowMs)
        )
        .map(([name]) => createCandidate(name, request, urgency, nowMs)),
  };
}
