import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { SETTINGS_LIMITS } from "./constants.ts";
import type { SettingsEntry } from "./settings_entry.ts";

/** Hash of a settings map that is updated entry by entry. */
export interface SettingsDigestTree {
  /** Replaces the contribution of an entry; `undefined` stands for an absent one. */
  replaceEntry(before: SettingsEntry | undefined, after: SettingsEntry | undefined): void;
  /** Hash of the whole map, 11 characters. */
  getHash(): string;
  /** Copy of the hashes of all buckets. */
  copyBuckets(): Uint8Array;
  /** Tells whether the bucket of `path` differs from the same one in `buckets`. */
  isDifferent(path: string, buckets: Uint8Array): boolean;
}

const BUCKET_BYTES = 8;
const HASH_BYTES = 8;

/**
 * Creates the hash of an empty map. Each bucket is the XOR of its entries' hashes, so the order of
 * updates does not matter and one update costs the hash of one entry.
 */
export function createSettingsDigestTree(): SettingsDigestTree {
  const buckets = new Uint8Array(SETTINGS_LIMITS.buckets * BUCKET_BYTES);
  let hash: string | undefined;

  const mixEntry = (entry: SettingsEntry | undefined) => {
    if (entry === undefined) {
      return;
    }
    const start = findBucket(entry.newest.path) * BUCKET_BYTES;
    const bytes = digestEntry(entry);
    for (let index = 0; index < BUCKET_BYTES; index++) {
      buckets[start + index] = (buckets[start + index] ?? 0) ^ (bytes[index] ?? 0);
    }
  };
  return {
    replaceEntry: (before, after) => {
      mixEntry(before);
      mixEntry(after);
      hash = undefined;
    },
    getHash: () => {
      hash ??= createHash("sha1").update(buckets).digest().subarray(0, HASH_BYTES)
        .toString("base64url");
      return hash;
    },
    copyBuckets: () => buckets.slice(),
    isDifferent: (path, others) => {
      const start = findBucket(path) * BUCKET_BYTES;
      const own = Buffer.from(buckets.buffer, buckets.byteOffset + start, BUCKET_BYTES);
      return Buffer.compare(own, others.subarray(start, start + BUCKET_BYTES)) !== 0;
    },
  };
}

function findBucket(path: string): number {
  return createHash("sha1").update(path).digest().readUInt16BE(0) % SETTINGS_LIMITS.buckets;
}

function digestEntry(entry: SettingsEntry): Uint8Array {
  const { newest, accepted } = entry;
  const kind = newest.text === undefined ? `-${newest.oversizeBytes ?? ""}` : "+";
  const head = [newest.path, newest.revision, accepted?.update.revision ?? 0, kind].join("\0");
  const hash = createHash("sha1").update(head).update("\0").update(newest.text ?? "");
  const differs = accepted !== undefined && accepted.update !== newest;
  return hash.update("\0").update(differs ? accepted.update.text ?? "" : "").digest();
}
