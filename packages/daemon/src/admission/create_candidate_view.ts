import type { SettingsView } from "../settings/mod.ts";
import type { AdmissionRequest } from "./admission.ts";
import type { Candidate } from "./candidate.ts";
import type { OwnerWaits } from "./compute_owner_waits.ts";
import { ADMISSION_LIMITS } from "./constants.ts";
import type { LeavingList } from "./create_leaving_list.ts";
import { createLengthPredictor } from "./create_length_predictor.ts";
import { createPrefixIndex } from "./create_prefix_index.ts";
import type { PrefixIndex } from "./create_prefix_index.ts";
import { createSpeedTable } from "./create_speed_table.ts";
import type { SpeedTable } from "./create_speed_table.ts";
import type { LengthPredictor } from "./length_predictor.ts";

/** Data about upstreams by which an entry daemon ranks them. */
export interface CandidateView {
  readonly speeds: SpeedTable;
  readonly prefixes: PrefixIndex;
  readonly lengths: LengthPredictor;
  recordWaits(upstream: string, waits: OwnerWaits, nowMs: number): void;
  recordGrant(upstream: string): void;
  recordRelease(upstream: string): void;
  getInFlight(upstream: string): number;
  /** Lists the live engines that may take a request, regardless of their load. */
  listCandidates(request: AdmissionRequest, urgency: number, nowMs: number): Candidate[];
}

interface KnownUpstream {
  waits: OwnerWaits;
  waitsUpdatedMs: number;
  inFlight: number;
  choices: number;
}

/** Creates the view; its size is bounded by the upstreams that the settings publish. */
export function createCandidateView(
  options: { readonly settings: SettingsView; readonly leaving: LeavingList },
): CandidateView {
  const { settings, leaving } = options;
  const known = new Map<string, KnownUpstream>();
  const speeds = createSpeedTable();
  const prefixes = createPrefixIndex();
  const lengths = createLengthPredictor();

  const getKnown = (upstream: string): KnownUpstream => {
    const found = known.get(upstream) ??
      { waits: { urgentMs: 0, otherMs: 0 }, waitsUpdatedMs: 0, inFlight: 0, choices: 0 };
    known.set(upstream, found);
    return found;
  };
  const pruneKnown = () => {
    for (const [upstream, { inFlight }] of known) {
      if (inFlight === 0 && !settings.getUpstreams().has(upstream)) {
        known.delete(upstream);
      }
    }
  };
  settings.subscribe(pruneKnown);

  const createCandidate = (
    upstream: string,
    request: AdmissionRequest,
    urgency: number,
    nowMs: number,
  ): Candidate => {
    const { waits, waitsUpdatedMs, inFlight, choices } = getKnown(upstream);
    return {
      upstream,
      inFlight,
      waitMs: urgency <= ADMISSION_LIMITS.urgentClass ? waits.urgentMs : waits.otherMs,
      firstTokenMs: speeds.estimateFirstTokenMs(upstream, request.kind),
      gapMs: speeds.estimateGapMs(upstream, request.kind),
      affinity: prefixes.estimateAffinity(request.prefixKey, upstream, nowMs),
      ageMs: waitsUpdatedMs === 0 ? 0 : nowMs - waitsUpdatedMs,
      remainingTokens: lengths.predictRemaining({ ...request, produced: 0 }),
      choices,
    };
  };

  return {
    speeds,
    prefixes,
    lengths,
    recordWaits: (upstream, waits, nowMs) => {
      Object.assign(getKnown(upstream), { waits, waitsUpdatedMs: nowMs });
    },
    recordGrant: (upstream) => {
      const found = getKnown(upstream);
      found.inFlight += 1;
      found.choices += 1;
    },
    recordRelease: (upstream) => {
      getKnown(upstream).inFlight -= 1;
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
