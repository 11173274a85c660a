/** Short identifier of a host in messages: its name hashed to 32 bits with FNV-1a. */
export type HostId = number;

const OFFSET = 0x811c9dc5;
const PRIME = 0x01000193;

/** Hashes the name of a host to its short identifier. */
export function hashHost(host: string): HostId {
  let hash = OFFSET;
  for (let index = 0; index < host.length; index++) {
    hash = Math.imul(hash ^ host.charCodeAt(index), PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x45d9f3b);
  return (hash ^ (hash >>> 15)) >>> 0;
}
