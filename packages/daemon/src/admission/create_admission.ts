import { createResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import type { SettingsView } from "../settings/mod.ts";
import type { Admission } from "./admission.ts";

/** Options of {@link createAdmission}. */
export interface AdmissionOptions {
  readonly settings: SettingsView;
}

const RETRY_AFTER_MS = 1_000;

/** Creates the admission slice: places each generation on the engine with the fewest in flight. */
export function createAdmission(options: AdmissionOptions): Admission {
  const inFlight = new Map<string, number>();
  const bumpInFlight = (upstream: string, change: number) =>
    inFlight.set(upstream, (inFlight.get(upstream) ?? 0) + change);

  return {
    requestGrant: (request) => {
      const candidates = [...options.settings.getUpstreams()]
        .filter(([name, upstream]) =>
          upstream.kind === "engine" && upstream.state === "live" &&
          (upstream.models ?? []).includes(request.model) && !request.excluded.has(name)
        )
        .sort(([left], [right]) => (inFlight.get(left) ?? 0) - (inFlight.get(right) ?? 0));
      const chosen = candidates[0];
      if (chosen === undefined) {
        const detail = `no live engine holds model "${request.model}"`;
        const error = createResultError("noUpstream", detail, { retryAfterMs: RETRY_AFTER_MS });
        return Promise.resolve(Left(error));
      }
      const [upstream, { url }] = chosen;
      bumpInFlight(upstream, 1);
      let isReleased = false;
      return Promise.resolve(Right({
        upstream,
        url,
        noteTokens: () => {},
        release: () => {
          bumpInFlight(upstream, isReleased ? 0 : -1);
          isReleased = true;
        },
      }));
    },
    start: () => {},
    stop: () => {},
    dumpState: () => ({ inFlight: Object.fromEntries(inFlight) }),
  };
}
