import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { SETTINGS_LIMITS } from "./constants.ts";
import type { SettingsEntry } from "./settings_entry.ts";

/** Hash of a settings map that is updated incrementally, one entry at a time. */
export interface SettingsDigestTree {
  /** Replaces the hash of one entry; `undefined` means that the entry is absent. */
  replaceEntry(before: SettingsEntry | undefined, after: SettingsEntry | undefined): void;
  /** Hash of the whole map, 11 characters. */
  getHash(): string;
  /** Copy of the hashes of all buckets. */
  copyBuckets(): Uint8Array;
  /** Returns whether the bucket of `path` differs from the same bucket in `buckets`. */
  isDifferent(path: string, buckets: Uint8Array): boolean;
}

const BUCKET_BYTES = 8;
const HASH_BYTES = 8;

/**
 * Creates the hash of an empty map. Each bucket is the XOR of its entries' hashes, so the order of
 * updates does not matter and an update hashes only the entry that it changes.
 */
export function createSettingsDigestTree(): SettingsDigestTree {
  const buckets = new Uint8Array(SETTINGS_LIMITS.buckets * BUCKET_BYTES);
  let hash: string | undefined;

  const applyEntryHash = (entry: SettingsEntry | undefined) => {
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
      applyEntryHash(before);
      applyEntryHash(after);
      hash = undefined;
    },
    getHash: () => {
      hash ??= createHash("sha1").update(buckets).digest().subarray(0, HASH_BYTES)
        .toString("base64url");
      return hash;
    },
    copyBuckets: () => buckets.slice(),
    isDifferent: (path, otherBuckets) => {
      const start = findBucket(path) * BUCKET_BYTES;
      const localBucket = Buffer.from(buckets.buffer, buckets.byteOffset + start, BUCKET_BYTES);
      return Buffer.compare(localBucket, otherBuckets.subarray(start, start + BUCKET_BYTES)) !== 0;
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
  const isAcceptedOlder = accepted !== undefined && accepted.update !== newest;
  return hash.update("\0").update(isAcceptedOlder ? accepted.update.text ?? "" : "").digest();
}
