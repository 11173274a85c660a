import { createOrderTables } from "@crocussail/daemon";
import { createHash } from "node:crypto";
import process from "node:process";

/** Memory of a replica for several numbers of keys. */
export interface MemoryReport {
  readonly points: readonly { readonly keys: number; readonly bytes: number }[];
  /** Least-squares slope: bytes for each further key. */
  readonly bytesPerKey: number;
  /** Least-squares slope of the time of one claim and one record, in microseconds. */
  readonly microsPerKey: number;
}

const BODY_BYTES = 200;

/** Fills tables with claimed and recorded keys, each with a response of 200 bytes. */
export function measureMemory(counts: readonly number[]): MemoryReport {
  // Warm-up: the first run also allocates memory for compiling the code.
  measurePoint(counts[0] ?? 1);
  const points = counts.map((keys) => measurePoint(keys));
  const bytesPerKey = computeSlope(points.map(({ keys, bytes }) => [keys, bytes]));
  const microsPerKey = computeSlope(points.map(({ keys, micros }) => [keys, micros]));
  return {
    points: points.map(({ keys, bytes }) => ({ keys, bytes })),
    bytesPerKey: Math.round(bytesPerKey),
    microsPerKey,
  };
}

function measurePoint(keys: number): { keys: number; bytes: number; micros: number } {
  const tables = createOrderTables({ host: "host-1", incarnation: "i" });
  const before = readMemory();
  const startMs = performance.now();
  for (let index = 0; index < keys; index++) {
    const key = digestText(`key-${index}`);
    const claim = `host-1/0123456789abcdef/${index}`;
    const keyed = { key, claim, digest: digestText(`body-${index}`), incarnation: "i", epoch: 0 };
    const body = new Uint8Array(BODY_BYTES).fill(index % 256);
    const headers = { "content-type": "application/json" };
    const outcome = {
      type: "completed",
      status: 201,
      headers,
      body,
      isBodyOmitted: false,
    } as const;
    tables.applyMessage({ type: "claim", ...keyed });
    tables.applyMessage({ type: "record", ...keyed, outcome });
  }
  const micros = (performance.now() - startMs) * 1_000;
  const bytes = readMemory() - before;
  if (tables.countRecords() !== keys) {
    throw new Error(`table has ${tables.countRecords()} of ${keys} keys`);
  }
  return { keys, bytes, micros };
}

function readMemory(): number {
  globalThis.gc?.();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

function digestText(text: string): string {
  return createHash("sha256").update(text).digest("base64url");
}

function computeSlope(points: readonly (readonly [number, number])[]): number {
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
  const numerator = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const denominator = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  return numerator / denominator;
}
