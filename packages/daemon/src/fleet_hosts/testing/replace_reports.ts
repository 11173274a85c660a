import { pack, unpack } from "msgpackr";
import { HOST_LIMITS } from "../constants.ts";
import { signDatagram } from "../sign_datagram.ts";

type Body = [string, string, [number, Uint8Array][], unknown[]];

/** Changes the fields of each report of a plain datagram and signs it again. */
export function replaceReports(
  datagram: Uint8Array,
  key: string,
  change: (fields: readonly unknown[]) => readonly unknown[],
): Uint8Array {
  const [address, dataCentre, items, messages]: Body = unpack(
    datagram.subarray(HOST_LIMITS.signatureBytes),
  );
  const changed = items.map(([ageMs, bytes]) => [ageMs, pack(change(unpack(bytes)))]);
  const body = pack([address, dataCentre, changed, messages]);
  return Buffer.concat([signDatagram(body, key), body]);
}
