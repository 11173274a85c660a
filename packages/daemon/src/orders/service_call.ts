import type { ServiceRequest } from "../adapters/service_client.ts";
import type { TeamSettings } from "../settings/mod.ts";

/** A caller's call of a plain service. */
export interface ServiceCall {
  readonly requestId: string;
  readonly team: TeamSettings;
  readonly service: string;
  readonly request: ServiceRequest;
  /** Base URLs to try, in order of preference; never empty. */
  readonly urls: readonly string[];
  /** Monotonic time at which the caller stops waiting. */
  readonly deadlineMs: number;
}
