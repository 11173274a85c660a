import type { FailedPlacement } from "./failed_placement.ts";
import type { GenerationServices } from "./generation_services.ts";

/** Codes that show that the engine which ran a generation is down or has restarted. */
const ENGINE_DOWN_CODES = new Set(["upstreamUnreachable", "generationUnknown"]);

/**
 * Cancels a generation that may still run after its placement failed, and reports the request to
 * the quarantine if the engine is down or has restarted. A generation whose tokens have reached the
 * caller is not cancelled here: the run table holds it for a resume and cancels it later. Waits for
 * the decision of the quarantine after a report.
 */
export async function handleFailedPlacement(
  services: GenerationServices,
  fingerprint: string,
  failed: FailedPlacement,
): Promise<void> {
  if (failed.ran === "no") {
    return;
  }
  let isEngineDown = ENGINE_DOWN_CODES.has(failed.cause);
  if (failed.deliveredTokens === 0 && failed.cause !== "generationUnknown") {
    const failure = await services.canceller.cancelGeneration(failed.url, failed.generation);
    isEngineDown ||= failure?.code === "upstreamUnreachable";
  }
  if (isEngineDown) {
    await services.quarantine.recordUpstreamCrash(failed.upstream, {
      fingerprint,
      tokens: failed.producedTokens,
    });
  }
}
