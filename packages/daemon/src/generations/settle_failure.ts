import type { FailedPlacement } from "./failed_placement.ts";
import type { GenerationServices } from "./generation_services.ts";

/** Codes after which the engine that ran a generation is gone, or has restarted. */
const DEATH_CODES = new Set(["upstreamUnreachable", "generationUnknown"]);

/**
 * Cancels what a failed placement may have left running, and reports to the quarantine when its
 * engine has died. A generation with tokens at the caller is left alone: the run table holds it
 * for a resume and cancels it later. Waits for the quarantine's verdict where one is due.
 */
export async function settleFailure(
  services: GenerationServices,
  fingerprint: string,
  failed: FailedPlacement,
): Promise<void> {
  if (failed.ran === "no") {
    return;
  }
  let isDead = DEATH_CODES.has(failed.cause);
  if (failed.deliveredTokens === 0 && failed.cause !== "generationUnknown") {
    const failure = await services.canceller.cancelGeneration(failed.url, failed.generation);
    isDead ||= failure?.code === "upstreamUnreachable";
  }
  if (isDead) {
    await services.quarantine.noteDeath(failed.upstream, {
      fingerprint,
      tokens: failed.producedTokens,
    });
  }
}
