import type { TeamKeysSettings } from "@crocussail/protocol";
import { Buffer } from "node:buffer";
import { timingSafeEqual } from "node:crypto";

/** Index of API key hashes. */
export interface TeamKeyIndex {
  /** Finds the team by hexadecimal SHA-256; if two teams have the same key, the first by name. */
  findTeam(sha256: string): string | undefined;
}

interface IndexedKey {
  readonly team: string;
  readonly hash: Buffer;
}

/** Hash digits that select a group; within a group, hashes are compared in constant time. */
const GROUP_DIGITS = 8;

/** Creates an index of the keys of all teams. */
export function createTeamKeyIndex(teams: ReadonlyMap<string, TeamKeysSettings>): TeamKeyIndex {
  const groups = new Map<string, IndexedKey[]>();
  for (const [team, keys] of teams) {
    for (const { sha256 } of Object.values(keys)) {
      const group = sha256.slice(0, GROUP_DIGITS);
      const indexed = { team, hash: Buffer.from(sha256) };
      groups.set(group, [...(groups.get(group) ?? []), indexed]);
    }
  }
  return {
    findTeam: (sha256) => {
      const given = Buffer.from(sha256);
      return groups.get(sha256.slice(0, GROUP_DIGITS))?.find(({ hash }) =>
        hash.length === given.length && timingSafeEqual(hash, given)
      )?.team;
    },
  };
}
