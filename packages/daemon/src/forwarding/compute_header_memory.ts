/** Memory of a name or a value beside its characters: its object, and references to it. */
const TEXT_BYTES = 48;

/** Computes the memory that header lines take while a request is kept; many may be very short. */
export function computeHeaderMemory(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((sum, text) => sum + TEXT_BYTES + text.length, 0);
}
