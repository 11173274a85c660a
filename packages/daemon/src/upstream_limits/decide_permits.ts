import { computePermitWait } from "./compute_permit_wait.ts";
import { computeReturnDelay } from "./compute_return_delay.ts";
import { PERMIT_LIMITS } from "./constants.ts";
import type { PermitEffect } from "./permit_effect.ts";
import type { PermitEvent } from "./permit_event.ts";
import type { PermitState, WaitingRequest } from "./permit_state.ts";

/** Absorbs the rounding of sums of fractions. */
const TOLERANCE = 1e-9;

/**
 * Applies an event to the permits of a limited upstream, which are accrued up to `nowMs`. Permits
 * go to the most urgent waiting request, then to the one that has waited longest. A request is
 * refused as soon as it is known that its permit comes too late.
 */
export function decidePermits(
  state: PermitState,
  event: PermitEvent,
  nowMs: number,
): PermitEffect[] {
  if (event.type === "cancel") {
    state.waiting.delete(event.key);
  }
  if (event.type === "request") {
    const { request } = event;
    const known = state.waiting.get(request.key);
    state.waiting.set(
      request.key,
      known === undefined ? request : { ...known, leaseUntilMs: request.leaseUntilMs },
    );
  }
  for (const { key, leaseUntilMs } of state.waiting.values()) {
    if (leaseUntilMs <= nowMs) {
      state.waiting.delete(key);
    }
  }
  const ordered = [...state.waiting.values()].sort(compareRequests);
  const granted = ordered.slice(0, countGrants(state, nowMs));
  granted.forEach(({ key }) => state.waiting.delete(key));
  state.permits -= Math.min(state.permits, granted.length);
  const effects: PermitEffect[] = granted.map(({ key }) => ({ type: "grant", key }));
  let place = 0;
  for (const request of ordered.slice(granted.length)) {
    const expectedMs = computePermitWait(state, place, nowMs);
    const untilMs = place < PERMIT_LIMITS.patientPlaces
      ? Math.max(request.patientUntilMs, request.waitUntilMs)
      : request.waitUntilMs;
    if (nowMs + expectedMs > untilMs || place >= PERMIT_LIMITS.maxWaiting) {
      state.waiting.delete(request.key);
      effects.push(refuseRequest(state, request.key, nowMs));
      continue;
    }
    place++;
    if (event.type === "request" && event.request.key === request.key) {
      effects.push({ type: "wait", key: request.key, expectedMs });
    }
  }
  return effects;
}

function countGrants({ permits, updatedAtMs }: PermitState, nowMs: number): number {
  return updatedAtMs > nowMs ? 0 : Math.floor(permits + TOLERANCE);
}

function refuseRequest(state: PermitState, key: string, nowMs: number): PermitEffect {
  return {
    type: "refuse",
    key,
    freeInMs: Math.ceil(computePermitWait(state, state.waiting.size, nowMs)),
    retryAfterMs: computeReturnDelay(state, nowMs),
  };
}

function compareRequests(left: WaitingRequest, right: WaitingRequest): number {
  return left.priority - right.priority || left.arrivedAtMs - right.arrivedAtMs;
}
