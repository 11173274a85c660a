import { GATEWAY_LIMITS } from "./constants.ts";
import type { GatewayConfig } from "./gateway_config_schema.ts";

const MS_PER_SECOND = 1_000;

/** Computes the milliseconds after the stop signal at which a host cuts what is still open. */
export function computeDrainTime({ graceSeconds }: GatewayConfig["shutdown"]): number {
  return graceSeconds * MS_PER_SECOND - GATEWAY_LIMITS.exitReserveMs;
}
