import { WAITING_LIMITS } from "./constants.ts";

/** Observes the rate at which the engines' memory becomes free, in tokens. */
export interface RoomRate {
  /** Records memory that became free at a service's engines. */
  recordFreed(service: string, tokens: number, nowMs: number): void;
  /** Returns tokens per millisecond; undefined while too little has been observed. */
  getTokensPerMs(service: string, nowMs: number): number | undefined;
}

interface FreedRoom {
  readonly sinceMs: number;
  readonly freed: { readonly atMs: number; readonly tokens: number }[];
}

/** Creates the observation. It keeps what became free in the last seconds, by service. */
export function createRoomRate(): RoomRate {
  const services = new Map<string, FreedRoom>();
  const dropOld = ({ freed }: FreedRoom, nowMs: number) => {
    const first = freed.findIndex(({ atMs }) => atMs > nowMs - WAITING_LIMITS.rateWindowMs);
    freed.splice(0, first < 0 ? freed.length : first);
  };
  return {
    recordFreed: (service, tokens, nowMs) => {
      let room = services.get(service);
      if (room === undefined) {
        room = { sinceMs: nowMs, freed: [] };
        services.set(service, room);
      }
      dropOld(room, nowMs);
      room.freed.push({ atMs: nowMs, tokens });
    },
    getTokensPerMs: (service, nowMs) => {
      const room = services.get(service);
      if (room === undefined || nowMs - room.sinceMs < WAITING_LIMITS.minRateMs) {
        return undefined;
      }
      dropOld(room, nowMs);
      const tokens = room.freed.reduce((sum, each) => sum + each.tokens, 0);
      const spanMs = Math.min(WAITING_LIMITS.rateWindowMs, nowMs - room.sinceMs);
      return tokens === 0 ? undefined : tokens / spanMs;
    },
  };
}
