import { request } from "undici";
import type { LocalFleet } from "./create_local_fleet.ts";

/** Fetches a key prefix from the daemon at an index. */
export async function fetchKeyPrefix(fleet: LocalFleet, host: number): Promise<string> {
  const answer = await request(`${fleet.daemons[host]?.url}/v1/entry`);
  const { key_prefix: prefix } = await answer.body.json() as { key_prefix: string };
  return prefix;
}
