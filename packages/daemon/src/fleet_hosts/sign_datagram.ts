import { createHmac } from "node:crypto";
import { HOST_LIMITS } from "./constants.ts";

/** Computes the signature that precedes a datagram's body. */
export function signDatagram(body: Uint8Array, key: string): Uint8Array {
  return createHmac("sha256", key).update(body).digest().subarray(0, HOST_LIMITS.signatureBytes);
}
